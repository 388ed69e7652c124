// Package settings reads and validates YAML settings.
package settings
