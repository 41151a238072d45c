package edge

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/pkg/platform"
	"github.com/pollenlug/pollenlug/pkg/serving"
)

// versionRecords reads rows of one byte, the version of the configuration.
type versionRecords struct{ Records }

func (versionRecords) Config(value []byte) (*serving.Config, error) {
	return serving.NewConfig(uint64(value[0]), nil, nil, nil, serving.Limits{}), nil
}

// Guards against a new configuration that waits for the next beat, which is seconds away in a large deployment, and
// against beats for rows that change nothing.
func TestNewConfigurationIsToldAtOnce(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	told := 0
	v := &configView{records: versionRecords{}, names: Names{ConfigKey: "config"}, log: logrus.NewEntry(logger),
		changed: func(*serving.Config) {}, news: func() { told++ }}
	for _, version := range []byte{3, 3, 2, 5} {
		v.take(platform.Row{Key: "config", Value: []byte{version}})
	}
	assert.Equal(t, told, 2)
	assert.NilError(t, v.accept([]byte{9}, "n-1"))
	assert.Equal(t, told, 2, "what peers tell is told by those that read it")
}
