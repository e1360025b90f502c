package settings

import (
	"errors"
	"net/url"
	"regexp"
)

// namePattern applies to firms, services, upstreams, accounts and budgets;
// modelPattern to models, whose names may also contain colons. Neither allows a
// slash, because slashes separate the names of a path.
var (
	namePattern  = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$`)
	modelPattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._:-]{0,126}$`)
)

const (
	nameRule  = "want letters, digits, dots, underscores and hyphens, at most 63"
	modelRule = "want letters, digits, dots, colons, underscores and hyphens, at most 127"
)

// urlSpec is the base URL of an upstream.
type urlSpec string

var errURL = errors.New("want a URL such as http://10.0.0.1:9000 without query or fragment")

// UnmarshalText stores an http or https URL that has a host and neither query nor
// fragment.
func (u *urlSpec) UnmarshalText(text []byte) error {
	parsed, err := url.Parse(string(text))
	if err != nil || parsed.Host == "" || parsed.RawQuery != "" || parsed.Fragment != "" {
		return errURL
	}
	if parsed.Scheme != "http" && parsed.Scheme != "https" {
		return errURL
	}
	*u = urlSpec(text)
	return nil
}
