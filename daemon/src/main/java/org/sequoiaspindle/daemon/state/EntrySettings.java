package org.sequoiaspindle.daemon.state;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.sequoiaspindle.core.common.LogEvent;

/**
 * EntrySettings of one instance, read once at its start.
 *
 * @param instance identifier of the instance
 * @param dataCentre data centre in which it runs
 * @param http where callers and operators connect
 * @param peer link to other instances
 * @param platform the platform's services
 * @param policy name of the routing policy
 * @param drain how the instance stops
 * @param endpoint how long endpoints may stay silent
 * @param telemetry where spans go
 * @param logLevel least grave events that are logged
 * @param bootstrapOperator operator who may publish the first configuration
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
     * Listener for HTTP.
     *
     * @param host IP address
     * @param port 0 for any free port
     */
    public record HttpListener(String host, int port) {}

    /**
     * Link to other instances.
     *
     * @param host IP address that other instances are told
     * @param port 0 for any free port
     * @param secret shared by all instances of the installation
     * @param peers {@code ip:port} of instances to ask at the start
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
     * Destination of spans.
     *
     * @param otlpEndpoint URL of an OTLP receiver over HTTP
     * @param spanLog whether each span is written to the log
     */
    public record Telemetry(Option<String> otlpEndpoint, boolean spanLog) {}

    /**
     * Operator who is accepted while the instance holds no configuration.
     *
     * @param secretHash see {@code SecretHash}
     */
    public record BootstrapOperator(String name, String secretHash) {}
}
