package org.sequoiaspindle.bench.coordination;

import io.vavr.collection.Vector;
import java.util.Comparator;
import java.util.Random;
import org.sequoiaspindle.bench.state.PlannedRequest;
import org.sequoiaspindle.bench.state.RequestClass;
import org.sequoiaspindle.bench.state.Sizes;

/** Generates the requests of a run from a seed. */
public final class RequestGenerator {

    /** Names of the organisations. The first two are large and send most of the requests. */
    public static final Vector<String> ORGANISATIONS =
            Vector.of("large-1", "large-2", "small-1", "small-2", "small-3");

    /** Maximum load of any scenario, as a multiple of the capacity. */
    private static final double MAX_LOAD = 2;

    private static final double LARGE_ORGANISATION_SHARE = 0.35;
    private static final double SMALL_ORGANISATION_SHARE = 0.1;

    private RequestGenerator() {}

    /** Generates requests, sorted by planned start time. */
    public static Vector<PlannedRequest> generate(
            Sizes sizes, LoadProfile profile, boolean includeReports, double seconds, long seed) {
        double capacity = EngineCapacity.shortRequestsPerSecond(sizes);
        Random random = new Random(seed);
        Vector<PlannedRequest> shortRequests =
                PoissonArrivals.sample(
                                time -> capacity * profile.loadAt(time),
                                capacity * MAX_LOAD,
                                seconds,
                                random.nextLong())
                        .map(startNanos -> createShortRequest(sizes, startNanos, seed, random));
        if (!includeReports) {
            return shortRequests;
        }
        double rate = EngineCapacity.reportsPerSecond(sizes);
        return shortRequests
                .appendAll(
                        PoissonArrivals.sample(time -> rate, rate, seconds, random.nextLong())
                                .map(startNanos -> createReport(sizes, startNanos, seed, random)))
                .sorted(Comparator.comparingLong(PlannedRequest::plannedStartNanos));
    }

    private static PlannedRequest createShortRequest(
            Sizes sizes, long startNanos, long seed, Random random) {
        if (random.nextDouble() < sizes.paymentShare()) {
            return createRequest(RequestClass.PAYMENT, startNanos, seed, 1, random);
        }
        int tokens = randomTokens(Sizes.MIN_CHAT_TOKENS, Sizes.MAX_CHAT_TOKENS, random);
        return createRequest(RequestClass.CHAT, startNanos, seed, tokens, random);
    }

    private static PlannedRequest createReport(
            Sizes sizes, long startNanos, long seed, Random random) {
        int tokens = randomTokens(sizes.minReportTokens(), sizes.reportTokens(), random);
        return createRequest(RequestClass.REPORT, startNanos, seed, tokens, random);
    }

    private static PlannedRequest createRequest(
            RequestClass requestClass, long startNanos, long seed, int tokens, Random random) {
        String input =
                "%016x %s %d-%d"
                        .formatted(random.nextLong(), requestClass.pipeline(), seed, startNanos);
        return new PlannedRequest(
                startNanos,
                requestClass,
                randomOrganisation(random),
                input,
                tokens,
                random.nextInt(1 << 30));
    }

    private static int randomTokens(int min, int max, Random random) {
        return min + random.nextInt(max - min + 1);
    }

    private static String randomOrganisation(Random random) {
        double randomValue = random.nextDouble();
        if (randomValue < 2 * LARGE_ORGANISATION_SHARE) {
            return ORGANISATIONS.get(randomValue < LARGE_ORGANISATION_SHARE ? 0 : 1);
        }
        int smallIndex =
                (int) ((randomValue - 2 * LARGE_ORGANISATION_SHARE) / SMALL_ORGANISATION_SHARE);
        return ORGANISATIONS.get(Math.min(2 + smallIndex, ORGANISATIONS.size() - 1));
    }
}
