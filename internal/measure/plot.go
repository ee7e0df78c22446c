package measure

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/template"
	"time"

	"github.com/rotisserie/eris"
)

// The size of a plot and its margins, in pixels.
const (
	plotWidth  = 900
	plotHeight = 320
	plotLeft   = 70
	plotRight  = 20
	plotTop    = 40
	plotBottom = 40
)

// series is one line of a plot with a value for each second.
type series struct {
	Name   string
	Values []float64
}

// plotLine is a series in plot coordinates.
type plotLine struct {
	Name, Colour, Points string
	LegendX              int
}

// plotMark is a label at a position.
type plotMark struct {
	Text string
	X, Y float64
}

// plotView is the data of plotTemplate.
type plotView struct {
	Title                    string
	Width, Height            int
	Left, Right, Top, Bottom int
	Lines                    []plotLine
	Phases, Levels           []plotMark
}

var plotTemplate = template.Must(template.New("plot").Parse(`<svg xmlns="http://www.w3.org/2000/svg" width="{{.Width}}" height="{{.Height}}" font-family="sans-serif" font-size="11">
<rect width="100%" height="100%" fill="white"/>
<text x="{{.Left}}" y="16" font-size="13">{{html .Title}}</text>
{{$v := .}}{{range .Levels}}<line x1="{{$v.Left}}" x2="{{$v.Right}}" y1="{{.Y}}" y2="{{.Y}}" stroke="#ddd"/><text x="{{.X}}" y="{{.Y}}" text-anchor="end">{{.Text}}</text>
{{end}}{{range .Phases}}<line x1="{{.X}}" x2="{{.X}}" y1="{{$v.Top}}" y2="{{$v.Bottom}}" stroke="#999" stroke-dasharray="3"/><text x="{{.X}}" y="{{.Y}}" fill="#555">{{html .Text}}</text>
{{end}}{{range .Lines}}<polyline fill="none" stroke="{{.Colour}}" stroke-width="1.5" points="{{.Points}}"/><text x="{{.LegendX}}" y="30" fill="{{.Colour}}">{{html .Name}}</text>
{{end}}</svg>
`))

var plotColours = []string{"#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#8c564b", "#e377c2"}

// layOutPlot lays out series over the phases of a scenario.
func layOutPlot(title string, s *Scenario, lines []series) plotView {
	v := plotView{
		Title: title, Width: plotWidth, Height: plotHeight,
		Left: plotLeft, Right: plotWidth - plotRight, Top: plotTop, Bottom: plotHeight - plotBottom,
	}
	highest := 1e-9
	for _, line := range lines {
		highest = max(highest, slices.Max(append(line.Values, 0)))
	}
	x := func(seconds float64) float64 {
		return math.Round(plotLeft + seconds/s.Length().Seconds()*float64(v.Right-v.Left))
	}
	y := func(value float64) float64 {
		return math.Round(float64(v.Bottom) - value/highest*float64(v.Bottom-v.Top))
	}
	for i, line := range lines {
		points := make([]string, 0, len(line.Values))
		for second, value := range line.Values {
			points = append(points, fmt.Sprintf("%.0f,%.0f", x(float64(second)+0.5), y(value)))
		}
		const legendStep = 180
		v.Lines = append(v.Lines, plotLine{
			Name: line.Name, Colour: plotColours[i%len(plotColours)], Points: strings.Join(points, " "), LegendX: plotLeft + i*legendStep,
		})
	}
	const levels = 4
	for i := range levels + 1 {
		value := highest * float64(i) / levels
		v.Levels = append(v.Levels, plotMark{Text: fmt.Sprintf("%.4g", value), X: plotLeft - 4, Y: y(value)})
	}
	at := time.Duration(0)
	for _, p := range s.Phases {
		v.Phases = append(v.Phases, plotMark{Text: p.Name, X: x(at.Seconds()), Y: float64(plotHeight - plotBottom/2)})
		at += p.For
	}
	return v
}

// valuesOf returns one value for each second of a column, which may be nil.
func valuesOf(c *Column, value func(Second) float64) []float64 {
	if c == nil {
		return nil
	}
	values := make([]float64, 0, len(c.Seconds))
	for _, second := range c.Seconds {
		values = append(values, value(second))
	}
	return values
}

func fullestRegionPercent(s Second) float64 {
	highest := 0.0
	for _, share := range s.Busy {
		highest = max(highest, share)
	}
	return 100 * highest
}

// writePlots writes three plots for each scenario into a folder.
func writePlots(folder string, scenarios []*Scenario, results *Results) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return eris.Wrap(err, "plots")
	}
	p50 := func(s Second) float64 { return s.P50 }
	p99 := func(s Second) float64 { return s.P99 }
	refused := func(s Second) float64 { return float64(s.Refused) }
	for _, s := range scenarios {
		f := results.Scenarios[s.Name]
		plots := map[string]plotView{
			"latency": layOutPlot(s.Name+": latency of customers that do not surge, ms", s, []series{
				{"this design, p50", valuesOf(f.Own, p50)}, {"this design, p99", valuesOf(f.Own, p99)},
				{"naive, p50", valuesOf(f.Naive, p50)}, {"naive, p99", valuesOf(f.Naive, p99)},
			}),
			"refused": layOutPlot(s.Name+": refused first attempts a second of customers that do not surge", s, []series{
				{"this design", valuesOf(f.Own, refused)}, {"naive", valuesOf(f.Naive, refused)},
			}),
			"region": layOutPlot(s.Name+": occupied slots of the fullest region, %", s, []series{
				{"this design", valuesOf(f.Own, fullestRegionPercent)}, {"naive", valuesOf(f.Naive, fullestRegionPercent)},
			}),
		}
		for name, view := range plots {
			if err := writePlot(filepath.Join(folder, s.Name+"-"+name+".svg"), view); err != nil {
				return err
			}
		}
	}
	return nil
}

func writePlot(path string, view plotView) error {
	file, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "plot")
	}
	defer func() { _ = file.Close() }()
	if err := plotTemplate.Execute(file, view); err != nil {
		return eris.Wrap(err, "plot")
	}
	return eris.Wrap(file.Close(), "plot")
}
