package settings

import (
	"fmt"

	"gopkg.in/ini.v1"
)

// Check reads a settings file and returns its first error, or nil. The section
// [entry] or [agent] tells which role the file is for. A file with the section
// [node] is for `celerypoint site`, see SiteEntry and SiteAgent.
func Check(path string) error {
	text, err := readLimited(path)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	file, err := ini.Load(text)
	if err != nil {
		return fmt.Errorf("settings: %s: %.256s", path, err.Error())
	}
	entry, agent, site := file.HasSection("entry"), file.HasSection("agent"), file.HasSection("node")
	switch {
	case entry == agent:
		return fmt.Errorf("settings: %s: section: found [entry] %t and [agent] %t, allowed: one of the two", path, entry, agent)
	case entry && site:
		_, err = LoadSiteEntry(path, nil)
	case site:
		_, err = LoadSiteAgent(path, nil)
	case entry:
		_, err = LoadEntry(path, nil)
	default:
		_, err = LoadAgent(path, nil)
	}
	return err
}
