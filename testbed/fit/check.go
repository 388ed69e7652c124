package fit

import "fmt"

// maxExponent is the growth up to which a cost counts as near linear. Caches
// that no longer hold the state add to a linear cost.
const maxExponent = 1.25

// CheckNearLinear reports an error when the time of a mechanism grows faster
// than linearly with the size, or was not measured.
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
