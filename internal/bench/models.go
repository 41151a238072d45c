package bench

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"
)

// modelsTimeout bounds the query for the models.
const modelsTimeout = 10 * time.Second

var errNoModels = errors.New("bench: the deployment lists no models for the first bearer token")

// chooseModels replaces default models that the deployment does not list: the small one by the first model listed, the
// large one by the last.
func (s *requestSource) chooseModels(ctx context.Context, opts Options) error {
	names, err := listModels(ctx, opts.Entries[0], opts.Tokens[0])
	if err != nil {
		return err
	}
	if len(names) == 0 {
		return errNoModels
	}
	if !slices.Contains(names, s.smallModel) {
		s.smallModel = names[0]
	}
	if !slices.Contains(names, s.largeModel) {
		s.largeModel = names[len(names)-1]
	}
	return nil
}

func listModels(ctx context.Context, addr, token string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, modelsTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/models", nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, errors.New("bench: models: " + readRefusal(res).Name)
	}
	var response struct {
		Data []struct{ ID string }
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxResponseBytes)).Decode(&response); err != nil {
		return nil, err
	}
	var names []string
	for _, model := range response.Data {
		names = append(names, model.ID)
	}
	return names, nil
}
