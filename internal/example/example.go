// Package example embeds the default configuration directory of `pollenlug dev`. Its tokens are council-token,
// shop-token and archive-token, for the workspaces council, shop and archive.
package example

import (
	"embed"
	"io/fs"
)

//go:embed folder/*.json
var folder embed.FS

// Files returns the contents of the embedded configuration files by file name.
func Files() map[string][]byte {
	files := map[string][]byte{}
	entries, err := fs.ReadDir(folder, "folder")
	if err != nil {
		panic("example: read embedded directory: " + err.Error()) // cannot happen: the directory is part of the binary
	}
	for _, entry := range entries {
		data, err := folder.ReadFile("folder/" + entry.Name())
		if err != nil {
			panic("example: read embedded file: " + err.Error())
		}
		files[entry.Name()] = data
	}
	return files
}
