// Package deployments embeds the TOML files of the shipped deployments in the
// binary, for demonstrations and experiments: the settings of the entries, the
// templates and the settings of the stand-ins. All functions are safe for
// concurrent use.
package deployments

import (
	"embed"
	"fmt"
	"io/fs"
	"path"
	"strings"
)

//go:embed */*.toml
var files embed.FS

// Names of the shipped deployments.
const (
	KarooWick         = "karoo-wick"
	AgenciaNordestina = "agencia-nordestina"
)

// Names returns the names of the shipped deployments.
func Names() []string { return []string{KarooWick, AgenciaNordestina} }

// shippedNetwork is the prefix of all addresses in the shipped files.
const shippedNetwork = "127.0."

// File returns a file of a deployment with its addresses moved to the loopback
// network 127.N, where N is network.
func File(deployment, name string, network int) ([]byte, error) {
	data, err := files.ReadFile(path.Join(deployment, name))
	if err != nil {
		return nil, fmt.Errorf("deployments: %w", err)
	}
	text := strings.ReplaceAll(string(data), shippedNetwork, fmt.Sprintf("127.%d.", network))
	return []byte(text), nil
}

// EntryFiles returns the names of the settings files of a deployment's entries.
func EntryFiles(deployment string) ([]string, error) {
	matches, err := fs.Glob(files, path.Join(deployment, "entry-*.toml"))
	if err != nil {
		return nil, fmt.Errorf("deployments: %w", err)
	}
	for i := range matches {
		matches[i] = path.Base(matches[i])
	}
	return matches, nil
}
