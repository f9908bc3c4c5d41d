/** Headers that nodes add to forwarded requests and their responses. */
export const forwardHeaders = {
  reservation: 'lavenderturn-reservation',
  route: 'lavenderturn-route',
  team: 'lavenderturn-team',
  callerService: 'lavenderturn-caller-service',
  callerRequest: 'lavenderturn-caller-request',
  fingerprint: 'lavenderturn-fingerprint',
  /** Remaining time in milliseconds. */
  timeout: 'lavenderturn-timeout',
  /** Result of the attempt; see `encodeAttemptResult`. */
  result: 'lavenderturn-result'
} as const
