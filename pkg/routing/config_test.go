package routing

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func validConfig() Config {
	return Config{
		Revision: 1,
		Services: []Service{{Name: "a"}, {Name: "b"}},
		Routes: []Route{
			{Name: "short", Host: "shop.example", Prefix: "/x/", Timeout: time.Second, Targets: []Target{{"a", 1}}},
			{Name: "long", Host: "shop.example", Prefix: "/x/y/", Timeout: time.Second, Targets: []Target{{"a", 90}, {"b", 10}}},
		},
		Organisations: []Organisation{{Name: "o", Keys: []string{"k1", "k2"}}, {Name: "p", Keys: []string{"k3"}}},
	}
}

// Guards against accepting an invalid configuration.
func TestCheck(t *testing.T) {
	tests := []struct {
		name   string
		modify func(*Config)
		want   string
	}{
		{"valid", func(*Config) {}, ""},
		{"unknown service", func(c *Config) { c.Routes[0].Targets[0].Service = "z" }, `route "short": service "z" does not exist`},
		{"duplicate host and prefix", func(c *Config) { c.Routes[1].Prefix = "/x/" }, `route "long": same host and prefix as route "short"`},
		{"no weight", func(c *Config) { c.Routes[1].Targets = []Target{{"a", 0}, {"b", 0}} }, `route "long": the sum of the weights is not positive`},
		{"no timeout", func(c *Config) { c.Routes[0].Timeout = 0 }, `route "short": the timeout is not positive`},
		{"shared key", func(c *Config) { c.Organisations[1].Keys[0] = "k2" }, `organisation "p": shares a key with organisation "o"`},
		{"prefix without a slash at its end", func(c *Config) { c.Routes[0].Prefix = "/x" }, `route "short": prefix "/x" does not begin and end with a slash`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := validConfig()
			tt.modify(&c)
			problems := c.Validate()
			if tt.want == "" {
				qt.Assert(t, problems, qt.HasLen, 0)
				return
			}
			qt.Assert(t, problems, qt.DeepEquals, []string{tt.want})
		})
	}
}

// Guards against routing a request to the service of a shorter prefix or of another host.
func TestMatch(t *testing.T) {
	c := validConfig()
	table := NewTable(&c)
	tests := []struct{ host, path, want string }{
		{"shop.example", "/x/1", "short"},
		{"shop.example:80", "/x/y/1", "long"},
		{"SHOP.example", "/x/y", "short"},
		{"shop.example", "/z/", ""},
		{"other.example", "/x/", ""},
	}
	for _, tt := range tests {
		got := ""
		if r := table.Match(tt.host, tt.path); r != nil {
			got = r.Name
		}
		qt.Assert(t, got, qt.Equals, tt.want, qt.Commentf("%s%s", tt.host, tt.path))
	}
}

// Guards against a distribution that differs from the weights and against selecting a service of
// weight 0.
func TestPick(t *testing.T) {
	r := Route{Targets: []Target{{"none", 0}, {"a", 90}, {"b", 10}}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[r.SelectService(float64(i)/1000)]++
	}
	qt.Assert(t, counts, qt.DeepEquals, map[string]int{"a": 900, "b": 100})
}
