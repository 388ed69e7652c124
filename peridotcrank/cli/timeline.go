package cli

import (
	"context"
	"fmt"
	"strings"

	"peridotcrank.dev/admin"
	"peridotcrank.dev/admin/client"
	"peridotcrank.dev/eventlog"
)

type timelineCommand struct {
	app   *app
	After uint64 `long:"after" value-name:"TIME" description:"Show only events after this logical time"`
	Local bool   `long:"local" description:"Show only the events of the called entry process"`
}

// Execute shows the timeline. If members cannot be reached, it returns an error
// with ExitIncomplete that names them.
func (c *timelineCommand) Execute([]string) error {
	api, err := c.app.client()
	if err != nil {
		return err
	}
	local, err := api.Timeline(context.Background(), c.After)
	if err != nil {
		return err
	}
	timelines, missing := [][]eventlog.Event{local}, []string(nil)
	if !c.Local {
		others, unreachable, err := c.otherTimelines(api)
		if err != nil {
			return err
		}
		timelines, missing = append(timelines, others...), unreachable
	}
	if err := c.writeEvents(eventlog.Merge(timelines...)); err != nil {
		return err
	}
	if len(missing) > 0 {
		return incompletef("the timeline lacks members:\n%s", strings.Join(missing, "\n"))
	}
	return nil
}

// otherTimelines reads the timelines of the other members, and returns the members
// that cannot be reached. It reads them one after the other, because there are few
// members and one operator at a time runs the command.
func (c *timelineCommand) otherTimelines(api *client.Client) (timelines [][]eventlog.Event, missing []string, err error) {
	members, err := api.Members(context.Background())
	if err != nil {
		return nil, nil, err
	}
	for _, m := range members {
		if m.Self {
			continue
		}
		events, err := c.memberTimeline(api, m)
		if err != nil {
			missing = append(missing, fmt.Sprintf("%s: %v", m.ID, err))
			continue
		}
		timelines = append(timelines, events)
	}
	return timelines, missing, nil
}

func (c *timelineCommand) memberTimeline(api *client.Client, m admin.Member) ([]eventlog.Event, error) {
	other, err := api.ForAddress(m.AdminAddress)
	if err != nil {
		return nil, err
	}
	return other.Timeline(context.Background(), c.After)
}

func (c *timelineCommand) writeEvents(events []eventlog.Event) error {
	if c.app.options.Output == outputJSON {
		return eventlog.WriteJSON(c.app.out, events)
	}
	return eventlog.WriteText(c.app.out, events)
}
