export * from './ControlDocument'
export * from './stubs'
