package configcheck

import "github.com/catkinspring/catkinspring/policy"

// Field identifies a field of a configuration, whatever its name in the file.
type Field uint8

// The fields of a configuration. Those of lists are identified by Ref.Index.
const (
	FieldVersion Field = iota
	FieldServices
	FieldHeaderBytes
	FieldBodyBytes
	FieldHeaderTimeout
	FieldIdleTimeout
	FieldRouteName
	FieldRouteHost
	FieldRoutePrefix
	FieldRouteHomes
	FieldRouteTimeout
	FieldRouteTarget
	FieldRouteAttempts
	FieldRoutePriority
	FieldRoutePartService
	FieldRoutePartWeight
	FieldServiceName
	FieldServiceConnections
	FieldServiceSlowStart
	FieldServiceWarmupRate
	FieldCustomerName
	FieldCustomerKey
	FieldCustomerPriority
	FieldCustomerRate
	FieldCustomerBurst
	FieldCustomerHomes
)

// Ref refers to a field of one entry of a configuration.
type Ref struct {
	Field Field
	// Index is the index of the route, service or customer.
	Index int
	// Part is the index of a route's service or of a customer's key.
	Part int
}

// Place is the position of a field in a file.
type Place struct {
	// Line and Column are counted from 1; the column is in bytes.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Path names the field, such as Routes[3].Timeout; it is empty for the whole file.
	Path string `json:"path,omitempty"`
}

// Document is a decoded configuration.
type Document struct {
	Configuration policy.Configuration
	// Findings are the findings of decoding.
	Findings []Finding
	// Place returns the place of a field, or of the nearest entry around it that the file
	// contains.
	Place func(Ref) Place
	// Failed reports whether a field, or a part of a list of regions, could not be decoded.
	// Such a field has a finding already, and its value in Configuration is meaningless.
	Failed func(Ref) bool
}

// Undecoded reports whether a part of the file could not be decoded, or whether the file
// has an unknown field, which may be a known one that is misspelt.
func (d *Document) Undecoded() bool {
	for _, f := range d.Findings {
		if f.Undecoded() || f.Rule == RuleUnknownField {
			return true
		}
	}
	return false
}
