package org.sequoiaspindle.bench.coordination;

import org.sequoiaspindle.bench.state.PlannedRequest;
import org.sequoiaspindle.bench.state.RequestClass;
import org.sequoiaspindle.standins.coordination.ExpectedAnswers;

/** Compares answers with those that the stand-ins give for the input. */
public final class AnswerCheck {

    private AnswerCheck() {}

    /** Whether the answer is the whole answer to this request and to no other. */
    public static boolean isExpected(PlannedRequest request, String answer) {
        return expected(request).equals(answer);
    }

    /** The answer of the stages of the request's pipeline, run one after the other. */
    public static String expected(PlannedRequest request) {
        if (request.kind() == RequestClass.PAYMENT) {
            return ExpectedAnswers.output("pay", request.input());
        }
        String encoded = ExpectedAnswers.output("encode", request.input());
        String retrieved = ExpectedAnswers.output("retrieve", encoded);
        String ranked = ExpectedAnswers.output("rerank", retrieved);
        return ExpectedAnswers.answer(ranked, request.maxTokens());
    }
}
