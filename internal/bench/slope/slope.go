// Package slope fits and stores the straight lines that experiments measure
// and that docs/CAPACITY.md extrapolates.
package slope

import (
	"encoding/json"
	"fmt"
	"os"
)

// Slope is a straight line fitted to measured points.
type Slope struct {
	// Name identifies the line, such as limits.memory_per_customer.
	Name string `json:"name"`
	// Unit is the unit of y and, after a slash, of x.
	Unit      string       `json:"unit"`
	Points    [][2]float64 `json:"points"`
	Slope     float64      `json:"slope"`
	Intercept float64      `json:"intercept"`
	// R2 is the coefficient of determination of the fit.
	R2 float64 `json:"r2"`
	// Command repeats the measurement.
	Command string `json:"command"`
}

// Fit returns the least-squares line through the points. One point gives a
// constant.
func Fit(name, unit, command string, points [][2]float64) Slope {
	line := Slope{Name: name, Unit: unit, Points: points, Command: command, R2: 1}
	if len(points) == 0 {
		return line
	}
	var sumX, sumY float64
	for _, point := range points {
		sumX += point[0]
		sumY += point[1]
	}
	count := float64(len(points))
	meanX, meanY := sumX/count, sumY/count
	var covariance, varianceX, varianceY float64
	for _, point := range points {
		dx, dy := point[0]-meanX, point[1]-meanY
		covariance += dx * dy
		varianceX += dx * dx
		varianceY += dy * dy
	}
	if varianceX > 0 {
		line.Slope = covariance / varianceX
	}
	line.Intercept = meanY - line.Slope*meanX
	if varianceX > 0 && varianceY > 0 {
		line.R2 = covariance * covariance / (varianceX * varianceY)
	}
	return line
}

// At returns the value of the line at x.
func (s Slope) At(x float64) float64 {
	return s.Intercept + s.Slope*x
}

// Range returns the smallest and largest measured x.
func (s Slope) Range() (low, high float64) {
	for i, point := range s.Points {
		if i == 0 || point[0] < low {
			low = point[0]
		}
		if i == 0 || point[0] > high {
			high = point[0]
		}
	}
	return low, high
}

// ReadFile reads the lines of one experiment.
func ReadFile(path string) ([]Slope, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var lines []Slope
	if err := json.Unmarshal(data, &lines); err != nil {
		return nil, fmt.Errorf("decode slopes in %s: %w", path, err)
	}
	return lines, nil
}

// fileMode is the mode of written slope files.
const fileMode = 0o644

// WriteFile writes the lines of one experiment.
func WriteFile(path string, lines []Slope) error {
	data, err := json.MarshalIndent(lines, "", "  ")
	if err != nil {
		return fmt.Errorf("encode slopes: %w", err)
	}
	return os.WriteFile(path, append(data, '\n'), fileMode)
}
