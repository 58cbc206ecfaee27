package org.sequoiaspindle.bench.protocol;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.collection.Vector;

/** Formats the settings file of an entry instance. */
public final class InstanceSettings {

    private static final String HOST = "127.0.0.1";

    private InstanceSettings() {}

    /**
     * Formats the settings as JSON.
     *
     * @param instance name of the instance
     * @param peerPort port of the peer link of the instance
     * @param peers addresses of the peer links of the other instances, {@code ip:port}
     * @param platform address of the platform, {@code ip:port}
     */
    public static String toJson(
            String instance,
            String dataCentre,
            String policy,
            int peerPort,
            Vector<String> peers,
            String platform) {
        ObjectNode root = BenchJson.object();
        root.put("instance", instance).put("dataCentre", dataCentre).put("policy", policy);
        root.putObject("http").put("host", HOST).put("port", 0);
        ArrayNode peerArray =
                root.putObject("peer")
                        .put("host", HOST)
                        .put("port", peerPort)
                        .put("secret", Credentials.PEER_SECRET)
                        .putArray("peers");
        peers.forEach(peerArray::add);
        root.putObject("platform").put("address", platform);
        root.putObject("bootstrapOperator")
                .put("name", Credentials.OPERATOR)
                .put("secretHash", Credentials.secretHash(Credentials.OPERATOR));
        return root.toString();
    }
}
