package capacity

import (
	"fmt"
	"path/filepath"
	"slices"

	"github.com/wagtailspoke/wagtailspoke/internal/bench/slope"
)

// slopeSet holds the measured slopes by name.
type slopeSet map[string]slope.Slope

// readSlopes reads every JSON file of a directory.
func readSlopes(directory string) (slopeSet, error) {
	paths, err := filepath.Glob(filepath.Join(directory, "*.json"))
	if err != nil {
		return nil, err
	}
	slices.Sort(paths)
	set := make(slopeSet)
	for _, path := range paths {
		lines, err := slope.ReadFile(path)
		if err != nil {
			return nil, err
		}
		for _, line := range lines {
			if _, twice := set[line.Name]; twice {
				return nil, fmt.Errorf("slope %s in %s is already defined", line.Name, path)
			}
			set[line.Name] = line
		}
	}
	return set, nil
}

// names returns the names of all slopes in order.
func (s slopeSet) names() []string {
	names := make([]string, 0, len(s))
	for name := range s {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// inputs gives a line's formula the slopes that it names, and notes those that
// are missing.
type inputs struct {
	Target
	slopes  slopeSet
	used    []string
	missing []string
	// beyond tells that a slope was read outside its measured range.
	beyond bool
}

// at reads a slope at a size.
func (in *inputs) at(name string, x float64) float64 {
	line := in.find(name)
	if low, high := line.Range(); x < low || x > high {
		in.beyond = true
	}
	return line.At(x)
}

// per returns the increase of a slope for one unit of size.
func (in *inputs) per(name string) float64 {
	return in.find(name).Slope
}

// measured returns the measured value at a size, without a fit.
func (in *inputs) measured(name string, x float64) float64 {
	for _, point := range in.find(name).Points {
		if point[0] == x {
			return point[1]
		}
	}
	in.missing = append(in.missing, fmt.Sprintf("%s at %g", name, x))
	return 0
}

func (in *inputs) find(name string) slope.Slope {
	in.used = append(in.used, name)
	line, known := in.slopes[name]
	if !known {
		in.missing = append(in.missing, name)
	}
	return line
}
