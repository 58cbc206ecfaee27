package org.sequoiaspindle.bench.coordination;

import io.vavr.collection.Vector;
import java.util.Comparator;
import java.util.Random;
import org.sequoiaspindle.bench.state.PlannedRequest;
import org.sequoiaspindle.bench.state.RequestClass;
import org.sequoiaspindle.bench.state.Sizes;

/** Draws the requests of a run from a seed. */
public final class RequestPlan {

    /** Names of the organisations; the first two are large. */
    public static final Vector<String> ORGANISATIONS =
            Vector.of("large-1", "large-2", "small-1", "small-2", "small-3");

    /** Highest load of any scenario, as a multiple of the capacity. */
    private static final double HIGHEST_LOAD = 2;

    private static final double LARGE_SHARE = 0.35;
    private static final double SMALL_SHARE = 0.1;

    private RequestPlan() {}

    /** Requests in the order of their intended starts. */
    public static Vector<PlannedRequest> draw(
            Sizes sizes, LoadShape shape, boolean reports, double seconds, long seed) {
        double capacity = Capacity.shortRate(sizes);
        Random random = new Random(seed);
        Vector<PlannedRequest> planned =
                ArrivalSchedule.draw(
                                time -> capacity * shape.at(time),
                                capacity * HIGHEST_LOAD,
                                seconds,
                                random.nextLong())
                        .map(at -> shortRequest(sizes, at, seed, random));
        if (!reports) {
            return planned;
        }
        double rate = Capacity.reportRate(sizes);
        return planned.appendAll(
                        ArrivalSchedule.draw(time -> rate, rate, seconds, random.nextLong())
                                .map(at -> report(sizes, at, seed, random)))
                .sorted(Comparator.comparingLong(PlannedRequest::atNanos));
    }

    private static PlannedRequest shortRequest(Sizes sizes, long at, long seed, Random random) {
        if (random.nextDouble() < sizes.paymentShare()) {
            return request(RequestClass.PAYMENT, at, seed, 1, random);
        }
        int tokens = tokens(Sizes.CHAT_TOKENS_LEAST, Sizes.CHAT_TOKENS_MOST, random);
        return request(RequestClass.CHAT, at, seed, tokens, random);
    }

    private static PlannedRequest report(Sizes sizes, long at, long seed, Random random) {
        int tokens = tokens(sizes.reportTokensLeast(), sizes.reportTokens(), random);
        return request(RequestClass.REPORT, at, seed, tokens, random);
    }

    private static PlannedRequest request(
            RequestClass kind, long at, long seed, int tokens, Random random) {
        String input = "%016x %s %d-%d".formatted(random.nextLong(), kind.pipeline(), seed, at);
        return new PlannedRequest(
                at, kind, organisation(random), input, tokens, random.nextInt(1 << 30));
    }

    private static int tokens(int least, int most, Random random) {
        return least + random.nextInt(most - least + 1);
    }

    private static String organisation(Random random) {
        double draw = random.nextDouble();
        if (draw < 2 * LARGE_SHARE) {
            return ORGANISATIONS.get(draw < LARGE_SHARE ? 0 : 1);
        }
        int small = (int) ((draw - 2 * LARGE_SHARE) / SMALL_SHARE);
        return ORGANISATIONS.get(Math.min(2 + small, ORGANISATIONS.size() - 1));
    }
}
