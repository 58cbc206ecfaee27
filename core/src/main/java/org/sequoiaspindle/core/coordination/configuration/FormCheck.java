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

/** Finds addresses and secret hashes that are not well formed. */
final class FormCheck {

    // The value is not shown, because a secret may have been written in place of its hash.
    private static final String HASH_MESSAGE =
            "is not of the form sha256:<salt hex>:<digest hex>; make one with"
                    + " 'sequoiaspindle hash-secret'";

    private static final Vector<Form<?>> FORMS =
            Vector.of(
                    new Form<>(
                            "malformed-address",
                            ObjectKind.ENDPOINTS,
                            "address",
                            Endpoint::address,
                            AddressForm::isWellFormed,
                            text ->
                                    ObjectNames.quoted(text)
                                            + " is not an address; use "
                                            + AddressForm.RULE),
                    new Form<>(
                            "malformed-secret-hash",
                            ObjectKind.ORGANISATIONS,
                            "secretHash",
                            Organisation::secretHash,
                            SecretHash::isWellFormed,
                            text -> HASH_MESSAGE),
                    new Form<>(
                            "malformed-secret-hash",
                            ObjectKind.OPERATORS,
                            "secretHash",
                            Operator::secretHash,
                            SecretHash::isWellFormed,
                            text -> HASH_MESSAGE));

    private FormCheck() {}

    static Vector<Problem> check(ObjectSet set) {
        return FORMS.flatMap(form -> form.violations(set));
    }

    private record Form<T extends NamedObject>(
            String code,
            ObjectKind<T> kind,
            String field,
            Function<T, String> value,
            Predicate<String> accepts,
            Function<String, String> message) {

        Vector<Problem> violations(ObjectSet set) {
            return kind.labelled(set)
                    .filter(entry -> !accepts.test(value.apply(entry.object())))
                    .map(entry -> problem(entry.label(), value.apply(entry.object())));
        }

        private Problem problem(String label, String text) {
            return new Problem(code, kind.name(), label, field, message.apply(text));
        }
    }
}
