package rawjson

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSplit(t *testing.T) {
	nested := strings.Repeat("[", 50_000) + strings.Repeat("]", 50_000)
	for text, want := range map[string][]string{
		`[]`:                         nil,
		` [ 1, "a,b" , {"c":[1,2]}]`: {" 1", ` "a,b" `, `{"c":[1,2]}`},
		`{"a":1,"b":"\"]},"}`:        {`"a":1`, `"b":"\"]},"`},
		`["\\",2]`:                   {`"\\"`, "2"},
		`[1,` + nested + `]`:         {"1", nested},
	} {
		parts, err := Split([]byte(text))
		require.NoError(t, err)
		require.Len(t, parts, len(want))
		for i := range want {
			require.Equal(t, want[i], string(parts[i]))
		}
	}
	for _, text := range []string{"", "1", "[", "[}", `["]`, "[[]", "[]]"} {
		_, err := Split([]byte(text))
		var syntax *SyntaxError
		require.ErrorAs(t, err, &syntax, text)
	}
}

func TestObject(t *testing.T) {
	o, err := ParseObject([]byte(` { "Name" : "x", "N":7,"Odd":[[]] }`))
	require.NoError(t, err)
	var name string
	require.NoError(t, o.Decode("name", &name))
	require.Equal(t, "x", name)
	require.Error(t, o.Decode("odd", &name))
	require.NoError(t, o.Decode("missing", &name))
	require.Equal(t, "x", name)
	for _, text := range []string{"[1]", "{1}", `{"a"}`, `{a:1}`, `{,}`} {
		_, err := ParseObject([]byte(text))
		require.Error(t, err, text)
	}
}
