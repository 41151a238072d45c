package edge

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/pkg/platform"
	"github.com/pollenlug/pollenlug/pkg/serving"
)

// versionRecords decodes one-byte rows that hold the version of the configuration.
type versionRecords struct{ Records }

func (versionRecords) Config(value []byte) (*serving.Config, error) {
	return serving.NewConfig(uint64(value[0]), nil, nil, nil, serving.Limits{}), nil
}

// Guards against a new configuration that waits for the next heartbeat, which is seconds away in a large deployment,
// and against extra heartbeats for rows that change nothing.
func TestNewConfigurationIsToldAtOnce(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	notified := 0
	v := &configView{records: versionRecords{}, names: Names{ConfigKey: "config"}, log: logrus.NewEntry(logger),
		onChange: func(*serving.Config) {}, onStoreChange: func() { notified++ }}
	for _, version := range []byte{3, 3, 2, 5} {
		v.applyRow(platform.Row{Key: "config", Value: []byte{version}})
	}
	assert.Equal(t, notified, 2)
	assert.NilError(t, v.accept([]byte{9}, "n-1"))
	assert.Equal(t, notified, 2, "a version received from a peer is announced by the nodes that read it")
}
