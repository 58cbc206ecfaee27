package org.sequoiaspindle.daemon.state;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.sequoiaspindle.core.common.LogEvent;

/**
 * Settings of an entry instance, read once when it starts.
 *
 * @param instance identifier of the instance
 * @param dataCentre data centre in which the instance runs
 * @param http HTTP listener for callers and operators
 * @param peer link to the other instances
 * @param platform address of the platform's services
 * @param policy name of the routing policy
 * @param drain time limits of the drain before the instance stops
 * @param endpoint timeouts of calls to endpoints
 * @param telemetry export of spans
 * @param logLevel lowest level of events that are logged
 * @param bootstrapOperator operator who may publish the first configuration, none if the setting is
 *     absent
 */
public record EntrySettings(
        String instance,
        String dataCentre,
        HttpListener http,
        PeerLink peer,
        Platform platform,
        String policy,
        DrainTimeouts drain,
        EndpointTimeouts endpoint,
        Telemetry telemetry,
        LogEvent.Level logLevel,
        Option<BootstrapOperator> bootstrapOperator) {

    /**
     * HTTP listener.
     *
     * @param host IP address
     * @param port 0 for any free port
     */
    public record HttpListener(String host, int port) {}

    /**
     * Link to the other instances.
     *
     * @param host IP address that is advertised to other instances
     * @param port 0 for any free port
     * @param secret shared by all instances of the installation
     * @param peers {@code ip:port} of instances to contact first when joining
     */
    public record PeerLink(String host, int port, String secret, Vector<String> peers) {

        /** Omits the secret. */
        @Override
        public String toString() {
            return "Peer[host=" + host + ", port=" + port + ", peers=" + peers + "]";
        }
    }

    /**
     * The platform's services.
     *
     * @param address {@code ip:port}
     */
    public record Platform(String address) {}

    /**
     * Export of spans.
     *
     * @param otlpEndpoint URL of an OTLP receiver over HTTP, none for no OTLP export
     * @param spanLog whether each span is written to the log
     */
    public record Telemetry(Option<String> otlpEndpoint, boolean spanLog) {}

    /**
     * Operator who is authenticated while the instance has no configuration.
     *
     * @param secretHash hash of the operator's secret, in the format of {@code SecretHash}
     */
    public record BootstrapOperator(String name, String secretHash) {}
}
