package org.sequoiaspindle.core.protocol.json;

import io.vavr.collection.Seq;
import io.vavr.collection.Vector;
import io.vavr.control.Validation;
import java.util.Locale;
import java.util.function.Function;
import org.sequoiaspindle.core.coordination.configuration.ValidationProblem;
import org.sequoiaspindle.core.state.Endpoint;
import org.sequoiaspindle.core.state.EndpointGroup;
import org.sequoiaspindle.core.state.Operator;
import org.sequoiaspindle.core.state.Organisation;
import org.sequoiaspindle.core.state.Pipeline;
import org.sequoiaspindle.core.state.RoutingRule;
import org.sequoiaspindle.core.state.Stage;

/** Creates the configuration objects of each kind from their JSON fields. */
final class ObjectFactories {

    private static final Vector<EndpointGroup.Kind> GROUP_KINDS =
            Vector.of(EndpointGroup.Kind.values());

    private ObjectFactories() {}

    static Validation<Seq<ValidationProblem>, Organisation> organisation(ObjectFields fields) {
        return flattenProblems(
                Validation.combine(
                                fields.string("name"),
                                fields.string("secretHash"),
                                fields.integer("weight"),
                                fields.integer("maxConcurrent"))
                        .ap(Organisation::new));
    }

    static Validation<Seq<ValidationProblem>, Operator> operator(ObjectFields fields) {
        return flattenProblems(
                Validation.combine(fields.string("name"), fields.string("secretHash"))
                        .ap(Operator::new));
    }

    static Validation<Seq<ValidationProblem>, EndpointGroup> endpointGroup(ObjectFields fields) {
        return flattenProblems(
                Validation.combine(
                                fields.string("name"),
                                fields.choice("kind", GROUP_KINDS, ObjectFactories::nameOf),
                                fields.optionalString("overflow"))
                        .ap(EndpointGroup::new));
    }

    static Validation<Seq<ValidationProblem>, Endpoint> endpoint(ObjectFields fields) {
        return flattenProblems(
                Validation.combine(
                                fields.string("name"),
                                fields.string("group"),
                                fields.string("dataCentre"),
                                fields.string("address"),
                                fields.integer("slots"),
                                fields.bool("leaving"))
                        .ap(Endpoint::new));
    }

    static Validation<Seq<ValidationProblem>, Stage> stage(ObjectFields fields) {
        return flattenProblems(
                Validation.combine(
                                fields.string("name"),
                                fields.string("endpointGroup"),
                                fields.bool("idempotent"),
                                fields.bool("streams"),
                                fields.integer("expectedMs"),
                                fields.integer("longOverTokens"))
                        .ap(Stage::new));
    }

    static Validation<Seq<ValidationProblem>, Pipeline> pipeline(ObjectFields fields) {
        return flattenProblems(
                Validation.combine(
                                fields.string("name"),
                                fields.strings("stages"),
                                fields.integer("deadlineMs"),
                                fields.strings("organisations"))
                        .ap(Pipeline::new));
    }

    static Validation<Seq<ValidationProblem>, RoutingRule> routingRule(ObjectFields fields) {
        return flattenProblems(
                Validation.combine(
                                fields.string("name"),
                                fields.integer("order"),
                                fields.optionalString("organisation"),
                                fields.optionalString("pipeline"),
                                fields.optionalString("stage"),
                                fields.string("endpointGroup"))
                        .ap(RoutingRule::new));
    }

    /** Returns the name of an enum constant in the document. */
    static String nameOf(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }

    private static <T> Validation<Seq<ValidationProblem>, T> flattenProblems(
            Validation<Seq<Seq<ValidationProblem>>, T> combined) {
        return combined.mapError(problems -> problems.flatMap(Function.identity()));
    }
}
