package org.sequoiaspindle.standins.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sequoiaspindle.standins.state.FleetMember;
import org.sequoiaspindle.standins.state.OptionValues;
import org.sequoiaspindle.standins.state.WireName;

/**
 * Reads the definition of a fleet: a JSON list of objects with role, name and options; comments are
 * allowed.
 */
public final class FleetReader {

    private static final String ROLE = "role";
    private static final String NAME = "name";

    private FleetReader() {}

    /**
     * Reads the members of a fleet.
     *
     * @throws IllegalArgumentException if the definition is malformed or a name occurs twice
     */
    public static List<FleetMember> read(String json) {
        JsonNode list = StandinJson.parse(json);
        if (!list.isArray()) {
            throw new IllegalArgumentException("the definition of a fleet must be a JSON list");
        }
        Set<String> names = new HashSet<>();
        List<FleetMember> members = new ArrayList<>();
        for (JsonNode item : list) {
            FleetMember member = parseMember(item);
            if (member.name().isEmpty() || !names.add(member.name())) {
                throw new IllegalArgumentException(
                        "the name of an endpoint is missing or not unique: " + item);
            }
            members.add(member);
        }
        return List.copyOf(members);
    }

    private static FleetMember parseMember(JsonNode item) {
        Map<String, String> options = new HashMap<>();
        item.fields()
                .forEachRemaining(field -> options.put(field.getKey(), field.getValue().asText()));
        options.keySet().removeAll(Set.of(ROLE, NAME));
        return new FleetMember(
                WireName.parse(FleetMember.Role.class, item.path(ROLE).asText()),
                item.path(NAME).asText(),
                new OptionValues(options));
    }
}
