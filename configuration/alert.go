package configuration

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// maxAlertRule bounds the length of an alert rule, in bytes.
const maxAlertRule = 1024

// AlertMetrics are the names that an alert rule can compare.
var AlertMetrics = []string{
	"admitted", "drain-seconds", "errors", "headroom", "hosts-without-lease", "in-flight", "latency-p50", "latency-p99", "latency-p999",
	"lease-seconds", "quarantined", "refused", "requests", "shifted", "store-outage-seconds",
	"worst-customer-p99", "wrongful-refusals",
}

// AlertRule is the meaning of one line:
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

// Label restricts an alert rule to the series that have the value.
type Label struct{ Name, Value string }

// AlertRuleError reports a line that is not understood.
type AlertRuleError struct {
	// Column is counted in bytes from 0.
	Column int
	Want   string
}

func (e *AlertRuleError) Error() string { return fmt.Sprintf("column %d: %s", e.Column+1, e.Want) }

// ParseAlertRule reads one line. It returns *AlertRuleError.
func ParseAlertRule(line string) (AlertRule, error) {
	p := &ruleParser{line: line}
	rule := p.parse()
	if p.err != nil {
		return AlertRule{}, p.err
	}
	return rule, nil
}

// ruleParser keeps the first error; every later step does nothing.
type ruleParser struct {
	line string
	at   int
	err  *AlertRuleError
}

func (p *ruleParser) fail(at int, want string) {
	if p.err == nil {
		p.err = &AlertRuleError{Column: at, Want: want}
	}
}

func (p *ruleParser) parse() AlertRule {
	var rule AlertRule
	if len(p.line) > maxAlertRule {
		p.fail(maxAlertRule, fmt.Sprintf("an alert rule has at most %d bytes", maxAlertRule))
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

func (p *ruleParser) space() {
	for p.at < len(p.line) && (p.line[p.at] == ' ' || p.line[p.at] == '\t') {
		p.at++
	}
}

func (p *ruleParser) take(accept func(byte) bool) string {
	start := p.at
	for p.at < len(p.line) && accept(p.line[p.at]) {
		p.at++
	}
	return p.line[start:p.at]
}

func (p *ruleParser) word(want string, accept func(byte) bool) string {
	p.space()
	start := p.at
	word := p.take(accept)
	if word == "" {
		p.fail(start, "expected "+want)
	}
	return word
}

func (p *ruleParser) keyword(keyword string) {
	p.space()
	start := p.at
	if p.take(isNameByte) != keyword {
		p.fail(start, "expected "+strconv.Quote(keyword))
	}
}

func (p *ruleParser) metric() string {
	p.space()
	start := p.at
	metric := p.take(isNameByte)
	if !slices.Contains(AlertMetrics, metric) {
		p.fail(start, "expected one of the metrics "+strings.Join(AlertMetrics, ", "))
	}
	return metric
}

func (p *ruleParser) labels() []Label {
	if p.err != nil || p.at >= len(p.line) || p.line[p.at] != '{' {
		return nil
	}
	var labels []Label
	for p.err == nil {
		p.at++
		name := p.word("the name of a label", isNameByte)
		p.expect('=')
		p.expect('"')
		value := p.take(func(b byte) bool { return b != '"' })
		p.expect('"')
		labels = append(labels, Label{Name: name, Value: value})
		if p.at < len(p.line) && p.line[p.at] == ',' {
			continue
		}
		p.expect('}')
		break
	}
	return labels
}

func (p *ruleParser) expect(b byte) {
	if p.at >= len(p.line) || p.line[p.at] != b {
		p.fail(p.at, "expected "+strconv.Quote(string(b)))
		return
	}
	p.at++
}

func (p *ruleParser) operator() string {
	p.space()
	start := p.at
	operator := p.take(func(b byte) bool { return strings.IndexByte("<>=!", b) >= 0 })
	if !slices.Contains([]string{"<", "<=", ">", ">=", "==", "!="}, operator) {
		p.fail(start, "expected one of < <= > >= == !=")
	}
	return operator
}

func (p *ruleParser) threshold() (float64, string) {
	p.space()
	start := p.at
	number := p.take(func(b byte) bool { return b >= '0' && b <= '9' || b == '.' || b == '-' })
	value, err := strconv.ParseFloat(number, 64)
	if err != nil {
		p.fail(start, "expected a number")
	}
	start = p.at
	unit := p.take(func(b byte) bool { return b != ' ' && b != '\t' })
	if !slices.Contains([]string{"", "%", "ms", "s", "Mbit"}, unit) {
		p.fail(start, "expected one of the units % ms s Mbit, or none")
	}
	return value, unit
}

func (p *ruleParser) duration() time.Duration {
	p.space()
	start := p.at
	d, err := time.ParseDuration(p.take(isNameByte))
	if err != nil || d < 0 || d > 24*time.Hour {
		p.fail(start, "expected a duration of at most 24h such as 30s")
	}
	return d
}

func (p *ruleParser) severity() string {
	p.space()
	if p.err != nil || p.at == len(p.line) {
		return ""
	}
	p.keyword("severity")
	p.space()
	start := p.at
	severity := p.take(isNameByte)
	if !slices.Contains([]string{"info", "ticket", "page"}, severity) {
		p.fail(start, "expected one of info, ticket, page")
	}
	p.space()
	if p.at != len(p.line) {
		p.fail(p.at, "expected the end of the line")
	}
	return severity
}

func isNameByte(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9' || b == '-' || b == '.' || b == '_'
}
