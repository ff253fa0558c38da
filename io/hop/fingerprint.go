package hop

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// MaxFingerprintBytes is the number of bytes at the start of a body that the fingerprint of its request covers.
const MaxFingerprintBytes = 64 << 10

// secondSeed is the seed of a fingerprint's second half, different from the first half's, so that the halves are independent.
const secondSeed = 0x9e3779b97f4a7c15

// Identity holds the parts of a request that its fingerprint covers.
type Identity struct {
	Service, Method, Path, Query, Key string
	Body                              []byte // only the first MaxFingerprintBytes count
}

// Fingerprint returns the fingerprint: two 64-bit xxhash values with different seeds, over all fields and the length of
// each text field.
func (i Identity) Fingerprint() (p Fingerprint) {
	body := i.Body[:min(len(i.Body), MaxFingerprintBytes)]
	for n, seed := range [2]uint64{0, secondSeed} {
		var d xxhash.Digest
		d.ResetWithSeed(seed)
		for _, s := range [...]string{i.Service, i.Method, i.Path, i.Query, i.Key} {
			var length [8]byte
			binary.BigEndian.PutUint64(length[:], uint64(len(s)))
			_, _ = d.Write(length[:])
			_, _ = d.WriteString(s)
		}
		_, _ = d.Write(body)
		binary.BigEndian.PutUint64(p[8*n:], d.Sum64())
	}
	return p
}
