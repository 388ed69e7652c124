package strict

import (
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/yaml.v3"
)

// Tags of scalars as yaml.v3 resolves them.
const (
	tagString    = "!!str"
	tagInt       = "!!int"
	tagFloat     = "!!float"
	tagTimestamp = "!!timestamp"
	tagNull      = "!!null"
)

// Form is the accepted form of a value.
type Form[T any] struct {
	Accepted string
	tags     []string // Accepted scalar tags; empty accepts each but null.
	read     func(text string) (T, error)
}

func (f Form[T]) parse(n *yaml.Node) (T, error) {
	var none T
	if n.Kind != yaml.ScalarNode || n.Tag == tagNull {
		return none, fmt.Errorf("found %s", describe(n))
	}
	if len(f.tags) > 0 && !slices.Contains(f.tags, n.Tag) {
		return none, fmt.Errorf("%q has the wrong type %s", n.Value, strings.TrimPrefix(n.Tag, "!!"))
	}
	return f.read(n.Value)
}

// Accepting returns the form with another description of what is accepted.
func (f Form[T]) Accepting(accepted string) Form[T] {
	f.Accepted = accepted
	return f
}

const maxNameBytes = 63

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)

// Name is the form of an identifier.
func Name[T ~string]() Form[T] {
	return Form[T]{
		Accepted: "1 to 63 characters of a-z, 0-9, '.', '_' and '-', such as entry-1",
		tags:     []string{tagString},
		read: func(text string) (T, error) {
			if len(text) > maxNameBytes || !namePattern.MatchString(text) {
				return "", fmt.Errorf("%q is not a valid name", text)
			}
			return T(text), nil
		},
	}
}

// Text is the form of any text that is not empty.
func Text() Form[string] {
	return Form[string]{Accepted: "text", tags: []string{tagString}, read: func(text string) (string, error) {
		if text == "" {
			return "", errors.New("the text is empty")
		}
		return text, nil
	}}
}

// OneOf is the form of a choice between words.
func OneOf[T ~string](words ...T) Form[T] {
	list := make([]string, len(words))
	for i, w := range words {
		list[i] = string(w)
	}
	return Form[T]{Accepted: strings.Join(list, ", "), tags: []string{tagString}, read: func(text string) (T, error) {
		if !slices.Contains(words, T(text)) {
			return "", fmt.Errorf("%q is not one of the accepted words", text)
		}
		return T(text), nil
	}}
}

// Int is the form of a decimal number without unit.
func Int() Form[int] {
	return Form[int]{Accepted: "a whole number without unit, such as 256", tags: []string{tagInt}, read: func(text string) (int, error) {
		n, err := strconv.Atoi(text)
		if err != nil {
			return 0, fmt.Errorf("%q is not a decimal number", text)
		}
		return n, nil
	}}
}

// Fraction is the form of a number with an optional fraction.
func Fraction() Form[float64] {
	return Form[float64]{Accepted: "a number, such as 0.1", tags: []string{tagInt, tagFloat}, read: func(text string) (float64, error) {
		f, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
			return 0, fmt.Errorf("%q is not a finite number", text)
		}
		return f, nil
	}}
}

// Duration is the form of a time span with unit.
func Duration() Form[time.Duration] {
	return Form[time.Duration]{
		Accepted: "a duration with unit (us, ms, s, m, h), such as 250ms or 5s",
		read: func(text string) (time.Duration, error) {
			span, err := time.ParseDuration(text)
			if err != nil || !strings.ContainsAny(text, "smh") {
				return 0, fmt.Errorf("%q is not a duration with unit", text)
			}
			return span, nil
		},
	}
}

var bytesPattern = regexp.MustCompile(`^([0-9]{1,9})(B|KiB|MiB|GiB)$`)

// Bytes is the form of a size with unit.
func Bytes() Form[int64] {
	factors := map[string]int64{"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
	return Form[int64]{Accepted: "a size with unit (B, KiB, MiB, GiB), such as 64KiB", read: func(text string) (int64, error) {
		m := bytesPattern.FindStringSubmatch(text)
		if m == nil {
			return 0, fmt.Errorf("%q is not a size with unit", text)
		}
		n, err := strconv.ParseInt(m[1], 10, 64)
		if err != nil {
			return 0, fmt.Errorf("%q is not a size: %w", text, err)
		}
		return n * factors[m[2]], nil
	}}
}

// Address is the form of an IP address with port.
func Address() Form[netip.AddrPort] {
	return Form[netip.AddrPort]{Accepted: "IP:port, such as 10.0.0.7:8080 or [fd00::7]:8080", read: func(text string) (netip.AddrPort, error) {
		a, err := netip.ParseAddrPort(text)
		if err != nil || a.Port() == 0 {
			return netip.AddrPort{}, fmt.Errorf("%q is not an IP address with port", text)
		}
		return a, nil
	}}
}

// URL is the form of the base URL of an HTTP service.
func URL() Form[string] {
	return Form[string]{Accepted: "http:// or https:// with a host, such as http://10.0.0.1:7000", tags: []string{tagString}, read: func(text string) (string, error) {
		u, err := url.Parse(text)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Hostname() == "" {
			return "", fmt.Errorf("%q is not the URL of an HTTP service", text)
		}
		if u.User != nil || u.RawQuery != "" || u.Fragment != "" {
			return "", errors.New("the URL has credentials, a query or a fragment")
		}
		return strings.TrimSuffix(text, "/"), nil
	}}
}

// SHA256 is the form of a SHA-256 hash. It accepts each scalar type, since
// YAML takes a hash that happens to have no letters for a number.
func SHA256() Form[[32]byte] {
	return Form[[32]byte]{Accepted: "a SHA-256 hash of 64 hexadecimal digits", read: func(text string) ([32]byte, error) {
		var hash [32]byte
		if len(text) != hex.EncodedLen(len(hash)) {
			return hash, fmt.Errorf("the value has %d characters", len(text))
		}
		if _, err := hex.Decode(hash[:], []byte(text)); err != nil {
			return [32]byte{}, errors.New("the value is not hexadecimal")
		}
		return hash, nil
	}}
}

// Time is the form of a point in time.
func Time() Form[time.Time] {
	return Form[time.Time]{Accepted: "a time with zone in RFC 3339, such as 2027-01-31T00:00:00Z", tags: []string{tagString, tagTimestamp}, read: func(text string) (time.Time, error) {
		t, err := time.Parse(time.RFC3339, text)
		if err != nil {
			return time.Time{}, fmt.Errorf("%q is not a time with zone", text)
		}
		return t, nil
	}}
}
