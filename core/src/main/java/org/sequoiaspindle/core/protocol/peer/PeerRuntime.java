package org.sequoiaspindle.core.protocol.peer;

import java.util.function.LongUnaryOperator;
import java.util.function.Supplier;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.common.Timer;

/**
 * Transport, clocks and sources of randomness used for communication with peers.
 *
 * @param clock monotonic clock
 * @param random returns a random number from 0 inclusive to the argument exclusive, for jitter
 * @param nonces returns 32 random hexadecimal digits from a cryptographically secure source
 */
public record PeerRuntime(
        PeerTransport transport,
        MillisClock clock,
        Timer timer,
        LongUnaryOperator random,
        Supplier<String> nonces,
        EventLog log) {}
