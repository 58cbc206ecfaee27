package org.sequoiaspindle.core.protocol.json;

import io.vavr.collection.Seq;
import io.vavr.collection.Vector;
import io.vavr.control.Validation;
import java.util.Locale;
import java.util.function.Function;
import org.sequoiaspindle.core.coordination.configuration.Problem;
import org.sequoiaspindle.core.state.Endpoint;
import org.sequoiaspindle.core.state.EndpointGroup;
import org.sequoiaspindle.core.state.Operator;
import org.sequoiaspindle.core.state.Organisation;
import org.sequoiaspindle.core.state.Pipeline;
import org.sequoiaspindle.core.state.RoutingRule;
import org.sequoiaspindle.core.state.Stage;

/** How an object of each kind is made from its fields. */
final class ObjectShapes {

    private static final Vector<EndpointGroup.Kind> GROUP_KINDS =
            Vector.of(EndpointGroup.Kind.values());

    private ObjectShapes() {}

    static Validation<Seq<Problem>, Organisation> organisation(ObjectShape shape) {
        return flat(
                Validation.combine(
                                shape.text("name"),
                                shape.text("secretHash"),
                                shape.integer("weight"),
                                shape.integer("maxConcurrent"))
                        .ap(Organisation::new));
    }

    static Validation<Seq<Problem>, Operator> operator(ObjectShape shape) {
        return flat(
                Validation.combine(shape.text("name"), shape.text("secretHash")).ap(Operator::new));
    }

    static Validation<Seq<Problem>, EndpointGroup> endpointGroup(ObjectShape shape) {
        return flat(
                Validation.combine(
                                shape.text("name"),
                                shape.choice("kind", GROUP_KINDS, ObjectShapes::nameOf),
                                shape.optionalText("overflow"))
                        .ap(EndpointGroup::new));
    }

    static Validation<Seq<Problem>, Endpoint> endpoint(ObjectShape shape) {
        return flat(
                Validation.combine(
                                shape.text("name"),
                                shape.text("group"),
                                shape.text("dataCentre"),
                                shape.text("address"),
                                shape.integer("slots"),
                                shape.bool("leaving"))
                        .ap(Endpoint::new));
    }

    static Validation<Seq<Problem>, Stage> stage(ObjectShape shape) {
        return flat(
                Validation.combine(
                                shape.text("name"),
                                shape.text("endpointGroup"),
                                shape.bool("idempotent"),
                                shape.bool("streams"),
                                shape.integer("expectedMs"),
                                shape.integer("longOverTokens"))
                        .ap(Stage::new));
    }

    static Validation<Seq<Problem>, Pipeline> pipeline(ObjectShape shape) {
        return flat(
                Validation.combine(
                                shape.text("name"),
                                shape.texts("stages"),
                                shape.integer("deadlineMs"),
                                shape.texts("organisations"))
                        .ap(Pipeline::new));
    }

    static Validation<Seq<Problem>, RoutingRule> routingRule(ObjectShape shape) {
        return flat(
                Validation.combine(
                                shape.text("name"),
                                shape.integer("order"),
                                shape.optionalText("organisation"),
                                shape.optionalText("pipeline"),
                                shape.optionalText("stage"),
                                shape.text("endpointGroup"))
                        .ap(RoutingRule::new));
    }

    /** Name of a constant in the document. */
    static String nameOf(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }

    private static <T> Validation<Seq<Problem>, T> flat(Validation<Seq<Seq<Problem>>, T> combined) {
        return combined.mapError(problems -> problems.flatMap(Function.identity()));
    }
}
