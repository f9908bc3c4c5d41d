/**
 * Behaviour of a link: `pass` forwards data, `reset` resets connections, `hold` keeps connections open without
 * forwarding data, and `slow` delays data.
 *
 * @public
 */
export type LinkMode = 'pass' | 'reset' | 'hold' | 'slow'
