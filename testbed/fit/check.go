package fit

import "fmt"

// maxExponent is the highest exponent that counts as near linear. It exceeds 1 because a
// linear cost grows faster once the state no longer fits into the CPU caches.
const maxExponent = 1.25

// CheckNearLinear reports an error when the time of a mechanism grows faster
// than about linearly with the size, or when the series holds no time for it.
func CheckNearLinear(series []Series, mechanism string) error {
	for _, s := range series {
		if s.Mechanism != mechanism || s.Unit != "ns/op" {
			continue
		}
		line, err := Fit(s.Points)
		if err != nil {
			return fmt.Errorf("%s: %w", mechanism, err)
		}
		if line.Exponent > maxExponent {
			return fmt.Errorf("%s grows with the exponent %.2f of the %s; at most %.2f is near linear", mechanism, line.Exponent, s.Axis, maxExponent)
		}
		return nil
	}
	return fmt.Errorf("%s: no series in ns/op", mechanism)
}
