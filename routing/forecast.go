package routing

import "time"

// Predict returns the predicted time to the first token of a request without
// placing it. It returns false when no endpoint serves the model.
func (f *Fleet) Predict(req Request) (time.Duration, bool) {
	best := f.fastest(f.view.Load().engines[modelKey{req.Model, req.Version}], &req)
	return best.PredictedTTFT, best.replica != nil
}
