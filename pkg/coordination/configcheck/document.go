// Package configcheck checks a configuration before it is published and says
// what it changes for callers. Its decisions are functions of one or two
// configurations; package platform and the wagtailctl commands decode the
// documents and read the version in force.
package configcheck

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
)

// Section is a list of entries of a configuration.
type Section string

// The sections of a configuration.
const (
	Routes    Section = "route"
	Services  Section = "service"
	Customers Section = "customer"
	Limits    Section = "limits"
)

// Field is a field of an entry. FieldEntry stands for the entry as a whole.
type Field string

// The fields that findings and changes refer to.
const (
	FieldEntry           Field = ""
	FieldVersion         Field = "version"
	FieldName            Field = "name"
	FieldHost            Field = "host"
	FieldPathPrefix      Field = "path prefix"
	FieldKind            Field = "kind"
	FieldSplits          Field = "services"
	FieldTimeout         Field = "time limit"
	FieldObjective       Field = "objective"
	FieldPauseObjective  Field = "pause objective"
	FieldAttempts        Field = "attempts"
	FieldPriority        Field = "priority"
	FieldOpen            Field = "open to callers without a key"
	FieldResumable       Field = "resumable streams"
	FieldConnectionLimit Field = "connection limit"
	FieldCold            Field = "cold start"
	FieldEngine          Field = "engine"
	FieldKeys            Field = "keys"
	FieldUnit            Field = "unit"
	FieldPlainTokens     Field = "cost of a request without token counts"
	FieldRate            Field = "rate"
	FieldBurst           Field = "burst"
	FieldHeaderBytes     Field = "size of headers"
	FieldBodyBytes       Field = "size of bodies"
	FieldHeaderTimeout   Field = "time for headers"
	FieldIdleTimeout     Field = "idle time"
)

// Ref identifies a value of a configuration. Item is the index in a field that
// is a list, or -1.
type Ref struct {
	Section Section
	Index   int
	Field   Field
	Item    int
}

func ref(section Section, index int, field Field) Ref {
	return Ref{Section: section, Index: index, Field: field, Item: -1}
}

// Position is where a value is written.
type Position struct {
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
	Path string `json:"path,omitempty"`
}

func (p Position) String() string {
	text := p.File
	if p.Line > 0 {
		text = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	if p.Path != "" {
		text += ": " + p.Path
	}
	return text
}

// Document is a decoded configuration and where its values are written.
type Document struct {
	Config *serving.Config
	// ServiceNames lists the services in the order of the document, with
	// repeated names, which Config.Services cannot hold.
	ServiceNames []string
	// Position returns where a value, or the entry that lacks it, is written.
	Position func(Ref) Position
	// Route finds the route of a host and path, if not by the rules of package
	// directory.
	Route func(host, path string) *serving.Route
	// Endpoints holds the registered endpoints; nil if they are not known.
	Endpoints []*serving.Endpoint
}

// Severity ranks a finding.
type Severity string

const (
	// Error marks a document that the VMs refuse, or in which an entry cannot
	// do what it says.
	Error Severity = "error"
	// Warning marks entries that are in force but contradict each other.
	Warning Severity = "warning"
)

// Finding is a fault in a document.
type Finding struct {
	Severity Severity `json:"severity"`
	Position Position `json:"position"`
	Problem  string   `json:"problem"`
	// HiddenBy is the entry because of which this one never matches.
	HiddenBy *Position `json:"hiddenBy,omitempty"`
}

func (f Finding) String() string {
	text := fmt.Sprintf("%s: %s: %s", f.Position, f.Severity, f.Problem)
	if f.HiddenBy != nil {
		text += fmt.Sprintf(" (hidden by %s)", *f.HiddenBy)
	}
	return text
}

// Sort orders findings by line.
func Sort(findings []Finding) {
	slices.SortStableFunc(findings, func(a, b Finding) int { return cmp.Compare(a.Position.Line, b.Position.Line) })
}
