package configcheck

import (
	"cmp"
	"slices"
)

// Severity states whether a configuration can be put in force despite a finding.
type Severity string

// The severities of findings.
const (
	// SeverityError is a configuration that hosts refuse or that is ambiguous.
	SeverityError Severity = "error"
	// SeverityWarning is a configuration that hosts accept, but an entry of which has no
	// effect or contradicts another one.
	SeverityWarning Severity = "warning"
)

// Rule is the name of the rule that a finding violates. Scripts may match it.
type Rule string

// The rules.
const (
	RuleSyntax         Rule = "syntax"
	RuleUnknownField   Rule = "unknown-field"
	RuleDuplicateField Rule = "duplicate-field"
	RuleType           Rule = "wrong-type"
	RuleOmitted        Rule = "more-errors"
	RuleVersionForm    Rule = "version-form"
	RuleKind           Rule = "unknown-kind"
	RuleIgnoredService Rule = "ignored-service"

	RuleVersionNotAbove Rule = "version-not-above"
	RuleEmptyName       Rule = "empty-name"
	RuleDuplicateName   Rule = "duplicate-name"
	RuleDuplicateKey    Rule = "duplicate-key"
	RuleEmptyKey        Rule = "empty-key"
	RuleUnknownService  Rule = "unknown-service"
	RulePrefix          Rule = "path-prefix"
	RuleNegative        Rule = "negative-number"
	RuleEmptyHost       Rule = "empty-host"
	RuleSameRoute       Rule = "same-host-and-prefix"

	RuleHostWithPort    Rule = "host-with-port"
	RuleZeroWeight      Rule = "zero-weight"
	RuleNoKey           Rule = "customer-without-key"
	RuleNoCommonRegion  Rule = "no-common-region"
	RuleTargetLatency   Rule = "target-above-timeout"
	RuleBurst           Rule = "burst-below-one"
	RuleWarmupRate      Rule = "warm-up-without-rate"
	RuleTooManyAttempts Rule = "attempts-above-upstreams"
)

// Finding is one violation of a rule.
type Finding struct {
	Severity Severity `json:"severity"`
	Rule     Rule     `json:"rule"`
	Place
	Text string `json:"text"`
}

// Undecoded reports whether the finding means that a part of the file could not be decoded
// as hosts do. Hosts decode a file with an unknown field or kind.
func (f Finding) Undecoded() bool {
	switch f.Rule {
	case RuleSyntax, RuleType, RuleDuplicateField, RuleOmitted, RuleVersionForm:
		return true
	}
	return false
}

// sortFindings sorts findings in the order of the file.
func sortFindings(findings []Finding) {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}
