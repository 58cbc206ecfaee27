package org.sequoiaspindle.core.coordination.configuration;

import io.vavr.collection.Vector;
import java.util.function.Function;
import java.util.function.Predicate;
import org.sequoiaspindle.core.state.Endpoint;
import org.sequoiaspindle.core.state.NamedObject;
import org.sequoiaspindle.core.state.ObjectSet;
import org.sequoiaspindle.core.state.Operator;
import org.sequoiaspindle.core.state.Organisation;
import org.sequoiaspindle.core.state.SecretHash;

/** Finds malformed addresses and secret hashes. */
final class FormatCheck {

    // The message does not contain the value, because the value may be a secret given instead of
    // the hash of the secret.
    private static final String HASH_MESSAGE =
            "is not of the form sha256:<salt hex>:<digest hex>; make one with"
                    + " 'sequoiaspindle hash-secret'";

    private static final Vector<Format<?>> FORMATS =
            Vector.of(
                    new Format<>(
                            "malformed-address",
                            ObjectKind.ENDPOINTS,
                            "address",
                            Endpoint::address,
                            AddressFormat::isWellFormed,
                            malformedValue ->
                                    ObjectNames.quoted(malformedValue)
                                            + " is not an address; use "
                                            + AddressFormat.FORMAT_DESCRIPTION),
                    new Format<>(
                            "malformed-secret-hash",
                            ObjectKind.ORGANISATIONS,
                            "secretHash",
                            Organisation::secretHash,
                            SecretHash::isWellFormed,
                            malformedValue -> HASH_MESSAGE),
                    new Format<>(
                            "malformed-secret-hash",
                            ObjectKind.OPERATORS,
                            "secretHash",
                            Operator::secretHash,
                            SecretHash::isWellFormed,
                            malformedValue -> HASH_MESSAGE));

    private FormatCheck() {}

    static Vector<ValidationProblem> check(ObjectSet set) {
        return FORMATS.flatMap(format -> format.problems(set));
    }

    private record Format<T extends NamedObject>(
            String code,
            ObjectKind<T> kind,
            String field,
            Function<T, String> value,
            Predicate<String> isValid,
            Function<String, String> message) {

        Vector<ValidationProblem> problems(ObjectSet set) {
            return kind.labelled(set)
                    .filter(entry -> !isValid.test(value.apply(entry.object())))
                    .map(entry -> problem(entry.label(), value.apply(entry.object())));
        }

        private ValidationProblem problem(String label, String malformedValue) {
            return new ValidationProblem(
                    code, kind.name(), label, field, message.apply(malformedValue));
        }
    }
}
