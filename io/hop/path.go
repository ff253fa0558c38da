package hop

import (
	"fmt"
	"net/url"
	"strings"
)

// encodedSlash is a slash that is part of a segment.
const encodedSlash = "%2F"

// RoutePath returns the path by which the route of a request is chosen. Encoded characters count as the characters themselves, which
// RFC 3986 section 6.2.2.2 allows for most; an encoded slash stays encoded, since it does not end a segment.
func RoutePath(u *url.URL) string {
	parts := splitEncodedSlashes(u.RawPath)
	if len(parts) == 1 {
		return u.Path
	}
	for i, part := range parts {
		text, err := url.PathUnescape(part)
		if err != nil {
			return u.RawPath // net/url has parsed the path, so this does not occur
		}
		parts[i] = text
	}
	return strings.Join(parts, encodedSlash)
}

func splitEncodedSlashes(raw string) []string {
	var parts []string
	for {
		i := strings.Index(raw, encodedSlash)
		if j := strings.Index(raw, strings.ToLower(encodedSlash)); j >= 0 && (i < 0 || j < i) {
			i = j
		}
		if i < 0 {
			return append(parts, raw)
		}
		parts, raw = append(parts, raw[:i]), raw[i+len(encodedSlash):]
	}
}

// EscapePath percent-encodes the bytes of a received path that a path must not contain, and keeps all others. Without it, net/url would
// decode such a path and encode it again when it is forwarded, and an encoded slash would become one that ends a segment.
func EscapePath(u *url.URL) {
	if u.RawPath == "" {
		return
	}
	var b strings.Builder
	for _, c := range []byte(u.RawPath) {
		if isPathByte(c) {
			b.WriteByte(c)
			continue
		}
		fmt.Fprintf(&b, "%%%02X", c)
	}
	u.RawPath = b.String()
}

// isPathByte reports whether a path may contain a byte (RFC 3986 section 3.3), including brackets, which net/url accepts.
func isPathByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.IndexByte("-._~!$&'()*+,;=:@/%[]", c) >= 0
}
