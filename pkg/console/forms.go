package console

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"github.com/geraniumpitch/geraniumpitch/pkg/document"
)

// inputKind selects the form control of a field.
type inputKind string

const (
	kindText   inputKind = "text"
	kindNumber inputKind = "number"
	kindBool   inputKind = "bool"
	kindList   inputKind = "list"
	kindChoice inputKind = "choice"
	kindRoutes inputKind = "routes"
)

// field describes a field of an item. Name is its name in JSON.
type field struct {
	Name    string
	Label   string
	Kind    inputKind
	Choices []string
}

// section describes the form for items of a section of the document.
type section struct {
	Name   string
	Title  string
	Fields []field
}

var formSections = []section{
	{document.SectionServices, "Services", []field{
		{"kind", "Kind", kindChoice, []string{document.KindGeneration, document.KindPlain}},
		{"max_tokens", "Largest output, in tokens", kindNumber, nil},
		{"timeout_ms", "Time limit of a plain call, in milliseconds", kindNumber, nil},
		{"routes", "Routes of a plain service; the first match decides", kindRoutes, nil},
	}},
	{document.SectionOrganisations, "Organisations", []field{
		{"key_hashes", "SHA-256 hashes of the keys, one a line", kindList, nil},
		{"weight", "Weight within a rank, 1 to 1000", kindNumber, nil},
		{"ranks", "Ranks that it may send, one a line", kindList, nil},
		{"tokens_per_second", "Tokens per second, 0 for no limit", kindNumber, nil},
		{"max_in_flight", "Requests in flight, 0 for no limit", kindNumber, nil},
		{"services", "Services that it may call, one a line, none for all", kindList, nil},
	}},
	{document.SectionRanks, "Ranks", []field{
		{"first_token_target_ms", "Target time to the first token, in milliseconds", kindNumber, nil},
		{"max_wait_ms", "Longest wait before a refusal, in milliseconds", kindNumber, nil},
		{"queue_per_organisation", "Queued requests per organisation", kindNumber, nil},
		{"floor_percent", "Least share of the slots, in percent", kindNumber, nil},
	}},
	{document.SectionPlacements, "Placements", []field{
		{"services", "Services, one a line", kindList, nil},
		{"data_centres", "Data centres, one a line, none for all", kindList, nil},
		{"networks", "Networks as CIDR prefixes, one a line, none for all", kindList, nil},
		{"checks_fencing", "The engines refuse old fencing numbers", kindBool, nil},
		{"replicas", "Backend servers per data centre, 0 to leave alone", kindNumber, nil},
	}},
}

func sectionByName(name string) (section, bool) {
	for _, s := range formSections {
		if s.Name == name {
			return s, true
		}
	}
	return section{}, false
}

// input is a field of a form with its value and the faults of that value. Rows holds the value of a
// field of kind kindRoutes, Text that of any other field.
type input struct {
	field
	Text   string
	Rows   []document.Route
	Faults []string
}

// emptyRouteRows is the number of empty rows for new routes.
const emptyRouteRows = 3

// formInputs returns the inputs of a form that shows an item; a nil value is a new item.
func formInputs(s section, value json.RawMessage) []input {
	var fields map[string]json.RawMessage
	_ = json.Unmarshal(value, &fields)
	inputs := make([]input, len(s.Fields))
	for i, f := range s.Fields {
		inputs[i] = input{field: f}
		inputs[i].fill(fields[f.Name])
	}
	return inputs
}

func (in *input) fill(raw json.RawMessage) {
	switch in.Kind {
	case kindList:
		var list []string
		_ = json.Unmarshal(raw, &list)
		in.Text = strings.Join(list, "\n")
	case kindRoutes:
		_ = json.Unmarshal(raw, &in.Rows)
		in.Rows = append(in.Rows, make([]document.Route, emptyRouteRows)...)
	case kindText, kindChoice:
		_ = json.Unmarshal(raw, &in.Text)
	default:
		in.Text = string(raw)
	}
}

// parseForm decodes a posted form to an item in JSON. The inputs hold the posted values, to show the
// form again; ok reports whether all values could be parsed.
func parseForm(s section, form url.Values) (value json.RawMessage, inputs []input, ok bool) {
	item := map[string]any{}
	ok = true
	for _, f := range s.Fields {
		in := input{field: f, Text: strings.TrimSpace(form.Get(f.Name))}
		parsed, err := in.parse(form)
		if err != nil {
			in.Faults, ok = []string{err.Error()}, false
		}
		item[f.Name] = parsed
		inputs = append(inputs, in)
	}
	value, err := json.Marshal(item)
	return value, inputs, ok && err == nil
}

func (in *input) parse(form url.Values) (any, error) {
	switch in.Kind {
	case kindNumber:
		if in.Text == "" {
			return 0, nil
		}
		number, err := strconv.Atoi(in.Text)
		if err != nil {
			return 0, fmt.Errorf("must be a whole number")
		}
		return number, nil
	case kindBool:
		in.Text = strconv.FormatBool(in.Text != "")
		return in.Text == "true", nil
	case kindList:
		return strings.Fields(in.Text), nil
	case kindRoutes:
		routes := parseRoutes(form)
		in.Rows = append(routes, make([]document.Route, emptyRouteRows)...)
		return routes, nil
	}
	return in.Text, nil
}

// maxRouteRows bounds the route rows that are read from a form.
const maxRouteRows = 200

func parseRoutes(form url.Values) []document.Route {
	var routes []document.Route
	for i := range maxRouteRows {
		get := func(name string) string { return strings.TrimSpace(form.Get(fmt.Sprintf("routes.%d.%s", i, name))) }
		r := document.Route{
			Method: strings.ToUpper(get("method")), PathPrefix: get("path_prefix"), Idempotent: get("idempotent") != "", Rank: get("rank"),
		}
		if r.Method != "" || r.PathPrefix != "" {
			routes = append(routes, r)
		}
	}
	return routes
}

// assignFaults adds each fault of the item at path to the input of its field and returns the faults
// that belong to no input.
func assignFaults(inputs []input, path string, faults []document.Fault) []document.Fault {
	var unassigned []document.Fault
	for _, f := range faults {
		relative, underPath := strings.CutPrefix(f.Path, path+".")
		name, _, _ := strings.Cut(relative, "[")
		name, _, _ = strings.Cut(name, ".")
		assigned := false
		for i := range inputs {
			if underPath && inputs[i].Name == name {
				inputs[i].Faults = append(inputs[i].Faults, f.String())
				assigned = true
			}
		}
		if !assigned {
			unassigned = append(unassigned, f)
		}
	}
	return unassigned
}
