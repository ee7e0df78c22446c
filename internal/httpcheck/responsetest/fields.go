package responsetest

// BrokenLines are lines that no header can have. Some parsers take them for the length or the
// framing of a body.
var BrokenLines = []string{
	"Na me: v", "Na  me: v", "Name : v", "Name  : v", "Name\t: v", "Na\tme: v", ": v", "Name",
	"Na\x00me: v", "Na\x01me: v", "Na\x0bme: v", "Na\x1fme: v", "Na\x7fme: v", "Na\rme: v", "Name\r: v", "\rName: v",
	"Na\xa0me: v", "Na\xc3\xa9me: v", "Na(me: v", "Name: a\x00b", "Name: a\rb", "Name: a\x7fb",
	"Content Length: 5", "Content-Length : 5", "Content-Length\x00: 5",
	"Transfer Encoding: chunked", "Transfer-Encoding : chunked", "Transfer-Encoding\x01: chunked",
}

// FoldedLines are lines that some parsers join with the line before. They are obsolete, and
// clients that check headers as they are received reject them.
var FoldedLines = []string{" ", " Name: v", "\tName: v", " : v", " Content-Length: 5", " Transfer-Encoding: chunked"}

// UnusualLines are lines of a header that are valid.
var UnusualLines = []string{
	"name: v", "NAME: v", "Name:v", "Name:\tv", "Name: v ", "Name:", "Name: ", "Name: a:b c", "Name: caf\xc3\xa9", "N: v", "1: v", "!#$%&'*+-.^_`|~: v",
}
