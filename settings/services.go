package settings

import (
	"fmt"
	"os"
	"strings"
	"time"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/settings/strict"
)

// Defaults and limits of the settings of a service.
const (
	DefaultServiceTimeout  = 2 * time.Second
	DefaultServiceBody     = 1 << 20 // bytes
	DefaultServiceMaxQueue = 256     // requests
	// DefaultAvailabilityTarget is the fraction of requests that must be answered in time.
	DefaultAvailabilityTarget = 0.999

	maxServiceTimeout = 10 * time.Minute
	maxServiceBody    = 1 << 30 // bytes
	maxServiceQueue   = 1_000_000
	maxUrgency        = 1000
)

// LoadServices reads and validates a YAML file with the services of a
// configuration. The error lists all faults of the file.
func LoadServices(file string) ([]fleet.Service, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read services: %w", err)
	}
	return ParseServices(file, data)
}

// ParseServices validates the contents of a YAML file with the key
// "services", a list whose entries have the names and units of [fleet.Service].
func ParseServices(file string, data []byte) ([]fleet.Service, error) {
	document, root := strict.Parse(file, data)
	var services []fleet.Service
	for _, m := range root.List("services") {
		services = append(services, decodeService(m))
	}
	if root.Present() {
		addIssues(document, serviceIssues(services))
	}
	if err := document.Finish(); err != nil {
		return nil, err
	}
	return services, nil
}

// ValidateServices returns an error with one line for each value that a
// configuration must not contain, or nil.
func ValidateServices(services []fleet.Service) error {
	var lines []string
	for _, i := range serviceIssues(services) {
		lines = append(lines, fmt.Sprintf("%s: %s; accepted: %s", i.path, i.problem, i.accepted))
	}
	if len(lines) == 0 {
		return nil
	}
	return fmt.Errorf("%s", strings.Join(lines, "\n"))
}

func decodeService(m *strict.Map) fleet.Service {
	s := fleet.Service{
		Timeout: DefaultServiceTimeout, MaxBodyBytes: DefaultServiceBody,
		MaxQueue: DefaultServiceMaxQueue, AvailabilityTarget: DefaultAvailabilityTarget,
	}
	strict.Required(m, "name", &s.Name, strict.Name[fleet.ServiceName]())
	strict.Required(m, "path_prefix", &s.PathPrefix, strict.Text().WithAccepted("a path that begins with /"))
	strict.Required(m, "pool", &s.Pool, strict.Name[fleet.PoolID]())
	strict.Optional(m, "timeout", &s.Timeout, strict.Duration())
	strict.Optional(m, "max_body_bytes", &s.MaxBodyBytes, strict.Bytes())
	strict.Optional(m, "max_queue", &s.MaxQueue, strict.Int())
	strict.Optional(m, "urgency", &s.Urgency, strict.Int())
	strict.Optional(m, "availability_target", &s.AvailabilityTarget, strict.Float())
	return s
}

func serviceIssues(services []fleet.Service) []issue {
	var c checker
	if len(services) == 0 {
		c.add("services", "there is no service", "a list with at least one service")
	}
	names, prefixes := firstIndex[fleet.ServiceName]{}, firstIndex[string]{}
	for i, s := range services {
		path := fmt.Sprintf("services[%d]", i)
		c.checkService(path, s)
		if first, ok := names.findRepeated(s.Name, i); ok {
			c.add(path+".name", fmt.Sprintf("%q is also the name of services[%d]", s.Name, first), "a name of its own")
		}
		if first, ok := prefixes.findRepeated(s.PathPrefix, i); ok {
			c.add(path+".path_prefix", fmt.Sprintf("%q also selects services[%d]", s.PathPrefix, first), "a prefix of its own")
		}
	}
	return c.issues
}

func (c *checker) checkService(path string, s fleet.Service) {
	c.checkNotEmpty(path+".name", string(s.Name))
	c.checkNotEmpty(path+".pool", string(s.Pool))
	if !strings.HasPrefix(s.PathPrefix, "/") || strings.ContainsAny(s.PathPrefix, "?# ") {
		c.add(path+".path_prefix", fmt.Sprintf("%q is not a path", s.PathPrefix), "a path that begins with /, without query")
	}
	checkRange(c, path+".timeout", s.Timeout, time.Millisecond, maxServiceTimeout)
	checkByteRange(c, path+".max_body_bytes", s.MaxBodyBytes, 1, maxServiceBody)
	checkRange(c, path+".max_queue", s.MaxQueue, 0, maxServiceQueue)
	checkRange(c, path+".urgency", s.Urgency, -maxUrgency, maxUrgency)
	if !(s.AvailabilityTarget > 0 && s.AvailabilityTarget < 1) {
		c.add(path+".availability_target", fmt.Sprintf("%v is out of range", s.AvailabilityTarget), "above 0 and below 1, such as 0.999")
	}
}
