package org.sequoiaspindle.standins.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.sequoiaspindle.standins.state.ListedInstance;
import org.sequoiaspindle.standins.state.PlatformFault;
import org.sequoiaspindle.standins.state.WireName;

/** JSON forms of the orders to the platform stand-in. */
final class PlatformMessages {

    private PlatformMessages() {}

    static PlatformFault fault(String json) {
        JsonNode node = Json.parse(json);
        return new PlatformFault(
                WireName.parse(PlatformFault.Mode.class, node.path("mode").asText()),
                node.path("delayMs").asLong(0),
                node.path("keyPrefix").asText(""));
    }

    static List<ListedInstance> instances(String json) {
        JsonNode list = Json.parse(json);
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
