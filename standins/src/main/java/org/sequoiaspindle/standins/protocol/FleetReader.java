package org.sequoiaspindle.standins.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sequoiaspindle.standins.state.FleetMember;
import org.sequoiaspindle.standins.state.Settings;
import org.sequoiaspindle.standins.state.WireName;

/** Reads a fleet: a JSON list, with comments, of objects with role, name and options. */
public final class FleetReader {

    private static final String ROLE = "role";
    private static final String NAME = "name";

    private FleetReader() {}

    /**
     * Reads the members of a fleet.
     *
     * @throws IllegalArgumentException if the text is malformed or a name occurs twice
     */
    public static List<FleetMember> read(String json) {
        JsonNode list = Json.parse(json);
        if (!list.isArray()) {
            throw new IllegalArgumentException("a fleet must be a list of endpoints");
        }
        Set<String> names = new HashSet<>();
        List<FleetMember> members = new ArrayList<>();
        for (JsonNode item : list) {
            FleetMember member = member(item);
            if (member.name().isEmpty() || !names.add(member.name())) {
                throw new IllegalArgumentException(
                        "each endpoint of a fleet needs a name of its own: " + item);
            }
            members.add(member);
        }
        return List.copyOf(members);
    }

    private static FleetMember member(JsonNode item) {
        Map<String, String> options = new HashMap<>();
        item.fields()
                .forEachRemaining(field -> options.put(field.getKey(), field.getValue().asText()));
        options.keySet().removeAll(Set.of(ROLE, NAME));
        return new FleetMember(
                WireName.parse(FleetMember.Role.class, item.path(ROLE).asText()),
                item.path(NAME).asText(),
                new Settings(options));
    }
}
