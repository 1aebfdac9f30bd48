package org.foxtailridge.cli.load;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.foxtailridge.cli.platform.OptionException;

/**
 * One of several things, chosen in proportion to its share.
 *
 * @param name name in the report
 * @param value what is chosen
 * @param share share; above 0, relative to those of the others
 */
record Weighted(String name, String value, double share) {
    /**
     * Returns the choice that {@code NAME=VALUE} or {@code NAME=VALUE,SHARE} describes.
     *
     * @throws OptionException if the text has another form
     */
    static Weighted parse(String text) {
        int equals = text.indexOf('=');
        int comma = text.lastIndexOf(',');
        if (equals < 1) {
            throw new OptionException("NAME=VALUE[,SHARE]", "another form");
        }
        String name = text.substring(0, equals);
        if (comma < equals) {
            return new Weighted(name, text.substring(equals + 1), 1);
        }
        return new Weighted(
                name, text.substring(equals + 1, comma), shareOf(text.substring(comma + 1)));
    }

    /**
     * Returns the choice that {@code NAME} or {@code NAME,SHARE} describes, with itself as value.
     */
    static Weighted parseName(String text) {
        int comma = text.lastIndexOf(',');
        String name = comma < 0 ? text : text.substring(0, comma);
        return new Weighted(name, name, comma < 0 ? 1 : shareOf(text.substring(comma + 1)));
    }

    /** Returns one of the choices. */
    static Weighted choose(List<Weighted> choices, UniformRandomProvider random) {
        double total = choices.stream().mapToDouble(Weighted::share).sum();
        double drawn = random.nextDouble() * total;
        for (Weighted choice : choices) {
            drawn -= choice.share();
            if (drawn < 0) {
                return choice;
            }
        }
        return choices.get(choices.size() - 1);
    }

    private static double shareOf(String text) {
        try {
            double share = Double.parseDouble(text);
            if (share > 0 && share < Double.POSITIVE_INFINITY) {
                return share;
            }
        } catch (NumberFormatException failure) {
            throw new OptionException("a share above 0", text);
        }
        throw new OptionException("a share above 0", text);
    }
}
