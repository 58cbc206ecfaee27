package org.sequoiaspindle.core.coordination.configuration;

import io.vavr.collection.Vector;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import org.sequoiaspindle.core.state.Endpoint;
import org.sequoiaspindle.core.state.NamedObject;
import org.sequoiaspindle.core.state.ObjectSet;
import org.sequoiaspindle.core.state.Operator;
import org.sequoiaspindle.core.state.Organisation;
import org.sequoiaspindle.core.state.SecretHash;

/** Finds addresses and secret hashes that are not well formed. */
final class FormCheck {

    private static final int MAX_PORT = 65_535;
    private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])";
    private static final Pattern ADDRESS =
            Pattern.compile("(" + OCTET + "\\.){3}" + OCTET + ":(?<port>[1-9][0-9]{0,4})");

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
                            FormCheck::isAddress,
                            text ->
                                    ObjectNames.quoted(text)
                                            + " is not an address; use <IPv4 address>:<port>,"
                                            + " such as 10.0.0.7:8080"),
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

    private static boolean isAddress(String text) {
        var matcher = ADDRESS.matcher(text);
        return matcher.matches() && Integer.parseInt(matcher.group("port")) <= MAX_PORT;
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
