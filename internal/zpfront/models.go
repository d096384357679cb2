package zpfront

import (
	"encoding/json"

	"github.com/kataras/iris/v12"

	"github.com/zinniapaddle/zinniapaddle/internal/zppipeline"
)

type (
	wireModels struct {
		Object string      `json:"object"`
		Data   []wireModel `json:"data"`
	}
	wireModel struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
	}
)

// models lists the models of the manifest.
func (f *Server) models(c iris.Context) {
	m := f.Fleet.Cache.Manifest()
	if m == nil {
		writeError(c, zppipeline.ErrNoConfig, "")
		return
	}
	if _, ok := m.WorkspaceByKey(apiKey(c)); !ok {
		writeError(c, zppipeline.ErrUnknownKey, "")
		return
	}
	list := wireModels{Object: "list", Data: []wireModel{}}
	for _, model := range m.Models {
		list.Data = append(list.Data, wireModel{ID: model.Name, Object: "model", OwnedBy: "site"})
	}
	text, err := json.Marshal(list)
	if err != nil {
		writeError(c, err, "")
		return
	}
	c.ContentType("application/json")
	// A write error means that the caller has disconnected.
	_, _ = c.Write(text)
}
