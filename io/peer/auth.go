package peer

import (
	"context"
	"crypto/subtle"
	"net/http"

	"connectrpc.com/connect"
)

// Authorization is the header that carries the shared key as a bearer token.
const Authorization = "Authorization"

const bearer = "Bearer "

// UnauthorizedError reports a request that does not carry the shared key.
type UnauthorizedError struct{}

// Error returns the text of the HTTP 401 response.
func (*UnauthorizedError) Error() string { return "the shared key is missing or wrong" }

// Authorize wraps a handler so that it answers 401 to requests without the shared key; an empty key disables the check.
func Authorize(key string, next http.Handler) http.Handler {
	if key == "" {
		return next
	}
	want := []byte(bearer + key)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := []byte(r.Header.Get(Authorization))
		if subtle.ConstantTimeCompare(got, want) != 1 {
			http.Error(w, (&UnauthorizedError{}).Error(), http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// withKey returns an interceptor that adds the shared key to every unary call of a client.
func withKey(key string) connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			if key != "" && r.Spec().IsClient {
				r.Header().Set(Authorization, bearer+key)
			}
			return next(ctx, r)
		}
	})
}
