/** Fault that is applied to a response when it is sent. @public */
export type AnswerFault = 'none' | 'truncated' | 'closeDelimited' | 'crossed'

/** Effects that the reducer returns. @public */
export type BackendEffect =
  | { readonly type: 'continue', readonly id: number }
  | {
    readonly type: 'answer',
    readonly id: number,
    readonly status: number,
    readonly headers: Readonly<Record<string, string>>,
    readonly fault: AnswerFault,
    readonly bytes?: number
  }
  | { readonly type: 'serve', readonly id: number, readonly delayMs: number }
  /** Never responds on this connection and keeps it open. */
  | { readonly type: 'mute', readonly id: number }
  | { readonly type: 'announce', readonly state: 'serving' | 'draining' | 'leaving' }
  | { readonly type: 'crash' }
  | { readonly type: 'exit' }
