package limits

// Slope is one measured quantity over a size.
type Slope struct {
	Name      string       `json:"name"`
	Unit      string       `json:"unit"`
	Points    [][2]float64 `json:"points"`
	Slope     float64      `json:"slope"`
	Intercept float64      `json:"intercept"`
	R2        float64      `json:"r2"`
	Command   string       `json:"command"`
}

// Slopes measures.
func Slopes(o options) []Slope { return nil }
