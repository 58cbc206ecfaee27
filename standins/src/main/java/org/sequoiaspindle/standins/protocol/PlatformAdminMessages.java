package org.sequoiaspindle.standins.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.sequoiaspindle.standins.state.ListedInstance;
import org.sequoiaspindle.standins.state.PlatformFault;
import org.sequoiaspindle.standins.state.WireName;

/** Parses the JSON bodies of admin commands to the platform stand-in. */
final class PlatformAdminMessages {

    private PlatformAdminMessages() {}

    static PlatformFault parseFault(String json) {
        JsonNode node = StandinJson.parse(json);
        return new PlatformFault(
                WireName.parse(PlatformFault.Mode.class, node.path("mode").asText()),
                node.path("delayMs").asLong(0),
                node.path("keyPrefix").asText(""));
    }

    static List<ListedInstance> parseInstances(String json) {
        JsonNode list = StandinJson.parse(json);
        if (!list.isArray()) {
            throw new IllegalArgumentException("the body must be a list of instances");
        }
        List<ListedInstance> instances = new ArrayList<>();
        for (JsonNode item : list) {
            instances.add(
                    new ListedInstance(
                            item.path("kind").asText(),
                            item.path("address").asText(),
                            item.path("dataCentre").asText(),
                            item.path("leaving").asBoolean()));
        }
        return List.copyOf(instances);
    }
}
