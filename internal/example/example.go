// Package example has the default folder of `pollenlug dev`. Its tokens are council-token, shop-token and
// archive-token, for the workspaces council, shop and archive.
package example

import (
	"embed"
	"io/fs"
)

//go:embed folder/*.json
var folder embed.FS

// Files returns the files of the folder by name.
func Files() map[string][]byte {
	files := map[string][]byte{}
	entries, err := fs.ReadDir(folder, "folder")
	if err != nil {
		panic("example: embedded folder: " + err.Error()) // cannot happen: the folder is part of the binary
	}
	for _, entry := range entries {
		data, err := folder.ReadFile("folder/" + entry.Name())
		if err != nil {
			panic("example: embedded file: " + err.Error())
		}
		files[entry.Name()] = data
	}
	return files
}
