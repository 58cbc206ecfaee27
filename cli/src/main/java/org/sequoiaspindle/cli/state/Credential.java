package org.sequoiaspindle.cli.state;

/** Name and secret of an operator or organisation. The secret never appears in a text form. */
public record Credential(String name, String secret) {

    /** Value of the header that carries the credential. */
    public String authorization() {
        return "Bearer " + name + ":" + secret;
    }

    @Override
    public String toString() {
        return "Credential[name=" + name + "]";
    }
}
