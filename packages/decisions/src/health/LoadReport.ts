/** State of an endpoint as its admission sees it; rides on every forwarded answer. @public */
export interface LoadReport {
  readonly slots: number
  /** Requests that the backend server may run at once now; at most `slots`. */
  readonly limit: number
  readonly inFlight: number
  readonly queued: number
  readonly verdict: 'healthy' | 'sick'
}
