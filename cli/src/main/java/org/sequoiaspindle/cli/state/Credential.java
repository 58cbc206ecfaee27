package org.sequoiaspindle.cli.state;

/** Name and secret of an operator or organisation. {@link #toString} omits the secret. */
public record Credential(String name, String secret) {

    /** Returns the value of the {@code Authorization} header. */
    public String authorization() {
        return "Bearer " + name + ":" + secret;
    }

    @Override
    public String toString() {
        return "Credential[name=" + name + "]";
    }
}
