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

// Tags that yaml.v3 assigns to scalars.
const (
	tagString    = "!!str"
	tagInt       = "!!int"
	tagFloat     = "!!float"
	tagBool      = "!!bool"
	tagTimestamp = "!!timestamp"
	tagNull      = "!!null"
)

// Format is the accepted format of a scalar value and its parser.
type Format[T any] struct {
	Accepted  string
	tags      []string // Accepted scalar tags; if empty, all but null.
	parseText func(text string) (T, error)
}

func (f Format[T]) parse(n *yaml.Node) (T, error) {
	var none T
	if n.Kind != yaml.ScalarNode || n.Tag == tagNull {
		return none, fmt.Errorf("found %s", describeNode(n))
	}
	if len(f.tags) > 0 && !slices.Contains(f.tags, n.Tag) {
		return none, fmt.Errorf("%q has the wrong type %s", n.Value, strings.TrimPrefix(n.Tag, "!!"))
	}
	return f.parseText(n.Value)
}

// WithAccepted returns the format with another description of accepted values.
func (f Format[T]) WithAccepted(description string) Format[T] {
	f.Accepted = description
	return f
}

const maxNameBytes = 63

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)

// Name returns the format of an identifier.
func Name[T ~string]() Format[T] {
	return Format[T]{
		Accepted: "1 to 63 characters of a-z, 0-9, '.', '_' and '-', such as entry-1",
		tags:     []string{tagString},
		parseText: func(text string) (T, error) {
			if len(text) > maxNameBytes || !namePattern.MatchString(text) {
				return "", fmt.Errorf("%q is not a valid name", text)
			}
			return T(text), nil
		},
	}
}

// Text returns the format of any text that is not empty.
func Text() Format[string] {
	return Format[string]{Accepted: "text", tags: []string{tagString}, parseText: func(text string) (string, error) {
		if text == "" {
			return "", errors.New("the text is empty")
		}
		return text, nil
	}}
}

// OneOf returns the format of a value that is one of the choices.
func OneOf[T ~string](choices ...T) Format[T] {
	list := make([]string, len(choices))
	for i, choice := range choices {
		list[i] = string(choice)
	}
	return Format[T]{Accepted: strings.Join(list, ", "), tags: []string{tagString}, parseText: func(text string) (T, error) {
		if !slices.Contains(choices, T(text)) {
			return "", fmt.Errorf("%q is not one of the accepted values", text)
		}
		return T(text), nil
	}}
}

// Int returns the format of a decimal integer without unit.
func Int() Format[int] {
	return Format[int]{Accepted: "a whole number without unit, such as 256", tags: []string{tagInt}, parseText: func(text string) (int, error) {
		n, err := strconv.Atoi(text)
		if err != nil {
			return 0, fmt.Errorf("%q is not a decimal number", text)
		}
		return n, nil
	}}
}

// Bool returns the format of a truth value.
func Bool() Format[bool] {
	return Format[bool]{Accepted: "true or false", tags: []string{tagBool}, parseText: func(text string) (bool, error) {
		return strconv.ParseBool(strings.ToLower(text))
	}}
}

// Float returns the format of a finite number with an optional fraction.
func Float() Format[float64] {
	return Format[float64]{Accepted: "a number, such as 0.1", tags: []string{tagInt, tagFloat}, parseText: func(text string) (float64, error) {
		f, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
			return 0, fmt.Errorf("%q is not a finite number", text)
		}
		return f, nil
	}}
}

// Duration returns the format of a duration with unit.
func Duration() Format[time.Duration] {
	return Format[time.Duration]{
		Accepted: "a duration with unit (us, ms, s, m, h), such as 250ms or 5s",
		parseText: func(text string) (time.Duration, error) {
			span, err := time.ParseDuration(text)
			if err != nil || !strings.ContainsAny(text, "smh") {
				return 0, fmt.Errorf("%q is not a duration with unit", text)
			}
			return span, nil
		},
	}
}

var bytesPattern = regexp.MustCompile(`^([0-9]{1,9})(B|KiB|MiB|GiB)$`)

// Bytes returns the format of a size with unit.
func Bytes() Format[int64] {
	factors := map[string]int64{"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
	return Format[int64]{Accepted: "a size with unit (B, KiB, MiB, GiB), such as 64KiB", parseText: func(text string) (int64, error) {
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

// Address returns the format of an IP address with port.
func Address() Format[netip.AddrPort] {
	return Format[netip.AddrPort]{Accepted: "IP:port, such as 10.0.0.7:8080 or [fd00::7]:8080", parseText: func(text string) (netip.AddrPort, error) {
		a, err := netip.ParseAddrPort(text)
		if err != nil || a.Port() == 0 {
			return netip.AddrPort{}, fmt.Errorf("%q is not an IP address with port", text)
		}
		return a, nil
	}}
}

// URL returns the format of the base URL of an HTTP service. Parsing removes a
// trailing slash.
func URL() Format[string] {
	return Format[string]{Accepted: "http:// or https:// with a host, such as http://10.0.0.1:7000", tags: []string{tagString}, parseText: func(text string) (string, error) {
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

// SHA256 returns the format of a SHA-256 hash in hexadecimal digits. It accepts
// every scalar type, since YAML treats a hash without letters as a number.
func SHA256() Format[[32]byte] {
	return Format[[32]byte]{Accepted: "a SHA-256 hash of 64 hexadecimal digits", parseText: func(text string) ([32]byte, error) {
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

// Time returns the format of a time with zone, as in RFC 3339.
func Time() Format[time.Time] {
	return Format[time.Time]{Accepted: "a time with zone in RFC 3339, such as 2027-01-31T00:00:00Z", tags: []string{tagString, tagTimestamp}, parseText: func(text string) (time.Time, error) {
		t, err := time.Parse(time.RFC3339, text)
		if err != nil {
			return time.Time{}, fmt.Errorf("%q is not a time with zone", text)
		}
		return t, nil
	}}
}
