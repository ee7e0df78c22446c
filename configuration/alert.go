package configuration

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// maxAlertRuleBytes bounds the length of an alert rule.
const maxAlertRuleBytes = 1024

// AlertMetrics lists the metrics that an alert rule can test.
var AlertMetrics = []string{
	"admitted", "drain-seconds", "errors", "headroom", "hosts-without-lease", "in-flight", "latency-p50", "latency-p99", "latency-p999",
	"lease-seconds", "quarantined", "refused", "requests", "shifted", "store-outage-seconds",
	"worst-customer-p99", "wrongful-refusals",
}

// AlertRule is a parsed alert rule. Its text is one line:
//
//	alert NAME if METRIC{LABEL="VALUE",...} OPERATOR NUMBER[UNIT] for DURATION [severity LEVEL]
//
// Labels and severity are optional. OPERATOR is one of < <= > >= == !=, UNIT one
// of % ms s Mbit, LEVEL one of info, ticket, page.
type AlertRule struct {
	Name      string
	Metric    string
	Labels    []Label
	Operator  string
	Threshold float64
	Unit      string
	For       time.Duration
	Severity  string
}

// Label restricts an alert rule to series with this label value.
type Label struct{ Name, Value string }

// AlertRuleError reports a syntax error in an alert rule.
type AlertRuleError struct {
	// Column is the byte offset of the error in the line, from 0.
	Column int
	Want   string
}

func (e *AlertRuleError) Error() string { return fmt.Sprintf("column %d: %s", e.Column+1, e.Want) }

// ParseAlertRule parses one line. Its errors are of type *AlertRuleError.
func ParseAlertRule(line string) (AlertRule, error) {
	p := &ruleParser{line: line}
	rule := p.parse()
	if p.err != nil {
		return AlertRule{}, p.err
	}
	return rule, nil
}

// ruleParser parses one rule and keeps only the first error.
type ruleParser struct {
	line string
	pos  int
	err  *AlertRuleError
}

func (p *ruleParser) fail(at int, want string) {
	if p.err == nil {
		p.err = &AlertRuleError{Column: at, Want: want}
	}
}

func (p *ruleParser) parse() AlertRule {
	var rule AlertRule
	if len(p.line) > maxAlertRuleBytes {
		p.fail(maxAlertRuleBytes, fmt.Sprintf("an alert rule has at most %d bytes", maxAlertRuleBytes))
		return rule
	}
	if i := strings.IndexFunc(p.line, func(r rune) bool { return r < ' ' && r != '\t' }); i >= 0 {
		p.fail(i, "an alert rule is one line without control characters")
		return rule
	}
	p.keyword("alert")
	rule.Name = p.word("the name of the alert: letters, digits, hyphens and dots", isNameByte)
	p.keyword("if")
	rule.Metric = p.metric()
	rule.Labels = p.labels()
	rule.Operator = p.operator()
	rule.Threshold, rule.Unit = p.threshold()
	p.keyword("for")
	rule.For = p.duration()
	rule.Severity = p.severity()
	return rule
}

func (p *ruleParser) skipSpace() {
	for p.pos < len(p.line) && (p.line[p.pos] == ' ' || p.line[p.pos] == '\t') {
		p.pos++
	}
}

func (p *ruleParser) takeWhile(accept func(byte) bool) string {
	start := p.pos
	for p.pos < len(p.line) && accept(p.line[p.pos]) {
		p.pos++
	}
	return p.line[start:p.pos]
}

func (p *ruleParser) word(want string, accept func(byte) bool) string {
	p.skipSpace()
	start := p.pos
	word := p.takeWhile(accept)
	if word == "" {
		p.fail(start, "expected "+want)
	}
	return word
}

func (p *ruleParser) keyword(keyword string) {
	p.skipSpace()
	start := p.pos
	if p.takeWhile(isNameByte) != keyword {
		p.fail(start, "expected "+strconv.Quote(keyword))
	}
}

func (p *ruleParser) metric() string {
	p.skipSpace()
	start := p.pos
	metric := p.takeWhile(isNameByte)
	if !slices.Contains(AlertMetrics, metric) {
		p.fail(start, "expected one of the metrics "+strings.Join(AlertMetrics, ", "))
	}
	return metric
}

func (p *ruleParser) labels() []Label {
	if p.err != nil || p.pos >= len(p.line) || p.line[p.pos] != '{' {
		return nil
	}
	var labels []Label
	for p.err == nil {
		p.pos++
		name := p.word("the name of a label", isNameByte)
		p.expect('=')
		p.expect('"')
		value := p.takeWhile(func(b byte) bool { return b != '"' })
		p.expect('"')
		labels = append(labels, Label{Name: name, Value: value})
		if p.pos < len(p.line) && p.line[p.pos] == ',' {
			continue
		}
		p.expect('}')
		break
	}
	return labels
}

func (p *ruleParser) expect(b byte) {
	if p.pos >= len(p.line) || p.line[p.pos] != b {
		p.fail(p.pos, "expected "+strconv.Quote(string(b)))
		return
	}
	p.pos++
}

func (p *ruleParser) operator() string {
	p.skipSpace()
	start := p.pos
	operator := p.takeWhile(func(b byte) bool { return strings.IndexByte("<>=!", b) >= 0 })
	if !slices.Contains([]string{"<", "<=", ">", ">=", "==", "!="}, operator) {
		p.fail(start, "expected one of < <= > >= == !=")
	}
	return operator
}

func (p *ruleParser) threshold() (float64, string) {
	p.skipSpace()
	start := p.pos
	number := p.takeWhile(func(b byte) bool { return b >= '0' && b <= '9' || b == '.' || b == '-' })
	value, err := strconv.ParseFloat(number, 64)
	if err != nil {
		p.fail(start, "expected a number")
	}
	start = p.pos
	unit := p.takeWhile(func(b byte) bool { return b != ' ' && b != '\t' })
	if !slices.Contains([]string{"", "%", "ms", "s", "Mbit"}, unit) {
		p.fail(start, "expected one of the units % ms s Mbit, or none")
	}
	return value, unit
}

func (p *ruleParser) duration() time.Duration {
	p.skipSpace()
	start := p.pos
	d, err := time.ParseDuration(p.takeWhile(isNameByte))
	if err != nil || d < 0 || d > 24*time.Hour {
		p.fail(start, "expected a duration of at most 24h such as 30s")
	}
	return d
}

func (p *ruleParser) severity() string {
	p.skipSpace()
	if p.err != nil || p.pos == len(p.line) {
		return ""
	}
	p.keyword("severity")
	p.skipSpace()
	start := p.pos
	severity := p.takeWhile(isNameByte)
	if !slices.Contains([]string{"info", "ticket", "page"}, severity) {
		p.fail(start, "expected one of info, ticket, page")
	}
	p.skipSpace()
	if p.pos != len(p.line) {
		p.fail(p.pos, "expected the end of the line")
	}
	return severity
}

func isNameByte(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9' || b == '-' || b == '.' || b == '_'
}
